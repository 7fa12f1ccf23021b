#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"
#include "unit_tests/support/child_process.h"
#include "unit_tests/support/fake_endpoint.h"
#include "unit_tests/support/port_reservation.h"
#include "unit_tests/support/temporary_folder.h"

namespace jacinth::test {

/// An answer to a caller, as far as tests look at it.
struct CallerAnswer {
  /// 0 if the connection failed.
  int status = 0;
  std::string outcome;
  std::string body;
  bool replayed = false;
};

/// A small deployment of the real binary on loopback: three control replicas,
/// entries in two regions, and fake endpoints within the test.
class ProcessFleet {
 public:
  /// `service_text` replaces the kinds of the tests' service `s`.
  ProcessFleet(int entries,
               int endpoints,
               const FakeEndpointOptions& endpoint_options = {},
               std::string service_text = {});

  void StartAll();
  void Start(const std::string& id);
  ChildProcess& process(const std::string& id) { return *processes_.at(id); }
  FakeEndpoint& endpoint(int index) { return *endpoints_[index]; }
  int endpoint_count() const { return static_cast<int>(endpoints_.size()); }

  std::string EntryAddress(int index) const;
  std::string AdminAddress(const std::string& replica) const;
  int PeerPort(const std::string& replica) const;
  std::string DataFolder(const std::string& replica) const;

  /// Lets one instance reach a replica's peer port by another address.
  void Reroute(const std::string& instance,
               const std::string& replica,
               int port);

  /// Applies the tree of the test's services and waits until it is in force.
  void ApplyTree();

  /// One PUT to one replica, without following redirects.
  http::Response Put(const std::string& replica,
                     const std::string& branch,
                     const std::string& body,
                     std::uint64_t if_revision,
                     const std::string& key);
  /// Sets ttl_ms at whichever replica leads, sending again until the answer is
  /// final. Returns the revision made.
  std::uint64_t Change(int ttl_ms, const std::string& key);
  /// Settings' revision vouched for by the leader; nothing if none answers.
  std::optional<std::uint64_t> CurrentRevision();
  std::optional<std::string> LeaderId();
  /// Answer of GET to a replica's admin API; status 0 if there was none.
  http::Response AdminGet(const std::string& replica, const std::string& path);
  /// Revision in force on an entry, by its own word; 0 if it doesn't answer.
  std::uint64_t EntryRevision(int index);

  CallerAnswer Get(int entry, const std::string& path);
  CallerAnswer Post(int entry, const std::string& path, const std::string& key);

  /// Times that a key was run, over all endpoints.
  int Executions(const std::string& key) const;

  /// Waits for a condition; false if it doesn't come within `limit`.
  static bool WaitFor(const std::function<bool()>& condition, Duration limit);

  static const std::vector<std::string>& Replicas();
  static std::string EntryId(int index);

  /// The stated target for settings to be in force everywhere.
  static constexpr Duration kInForceTarget = 12s;

 private:
  void WriteSettings(const std::string& id);
  std::string TreeText() const;
  CallerAnswer Call(int entry, const http::Request& request);

  TemporaryFolder folder_;
  int entry_count_;
  std::string service_text_;
  PortReservation ports_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::map<std::pair<std::string, std::string>, int> reroutes_;
};

}  // namespace jacinth::test
