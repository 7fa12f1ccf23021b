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

/// The parts of an answer to a caller that tests check.
struct CallerAnswer {
  /// 0 if the connection failed.
  int status = 0;
  std::string outcome;
  std::string body;
  bool replayed = false;
};

/// Runs a small deployment on the loopback interface: three control replicas
/// and entries in two regions as processes of the jacinthroute binary, and fake
/// endpoints in the test process.
class ProcessFleet {
 public:
  /// `service_settings_text` replaces the default settings of the service `s`;
  /// the endpoints are added to it.
  ProcessFleet(int entries,
               int endpoints,
               const FakeEndpointOptions& endpoint_options = {},
               std::string service_settings_text = {});

  void StartAll();
  void Start(const std::string& id);
  ChildProcess& process(const std::string& id) { return *processes_.at(id); }
  FakeEndpoint& endpoint(int index) { return *endpoints_[index]; }
  int endpoint_count() const { return static_cast<int>(endpoints_.size()); }

  std::string EntryAddress(int index) const;
  std::string AdminAddress(const std::string& replica) const;
  int PeerPort(const std::string& replica) const;
  std::string DataFolder(const std::string& replica) const;

  /// Makes an instance connect to `port` instead of the replica's peer port.
  /// Takes effect when the instance is started.
  void OverridePeerPort(const std::string& instance,
                        const std::string& replica,
                        int port);

  /// Applies the settings tree as its first revision and waits until all
  /// entries are ready.
  void ApplySettingsTree();

  /// Sends one PUT request to a replica, without following redirects.
  http::Response PutSettings(const std::string& replica,
                             const std::string& branch,
                             const std::string& body,
                             std::uint64_t if_revision,
                             const std::string& key);
  /// Sets `ttl_ms` and returns the new revision. Retries on all replicas with
  /// the same key and base revision until one accepts the change; returns 0 if
  /// none does in time.
  std::uint64_t SetTtl(int ttl_ms, const std::string& key);
  /// Returns the current settings revision as reported by the leader, or
  /// nothing if no leader answers.
  std::optional<std::uint64_t> CurrentRevision();
  /// Returns the id of the replica that answers as the leader, or nothing if
  /// none does.
  std::optional<std::string> FindLeader();
  /// Sends a GET request to a replica's admin interface. The status is 0 if
  /// there was no answer.
  http::Response AdminGet(const std::string& replica, const std::string& path);
  /// Returns the settings revision that an entry reports as in force, or 0 if
  /// it does not answer.
  std::uint64_t EntryRevision(int index);

  /// Sends a GET request for the service `s` to the entry with index `entry`.
  CallerAnswer Get(int entry, const std::string& path);
  /// Sends a POST request with the idempotency key `key` for the service `s`.
  CallerAnswer Post(int entry, const std::string& path, const std::string& key);
  /// Sends any request to the entry with index `entry`.
  CallerAnswer SendToEntry(int entry, const http::Request& request);

  /// Returns true if the log of an instance holds the text.
  bool HasLogged(const std::string& id, const std::string& text) const;

  /// Returns how many requests with this key all endpoints executed.
  int ExecutionCount(const std::string& key) const;

  /// Waits until `condition` holds; returns false if it does not within
  /// `limit`.
  static bool WaitFor(const std::function<bool()>& condition, Duration limit);

  static const std::vector<std::string>& ReplicaIds();
  static std::string EntryId(int index);

  /// Target time within which a settings change is in force on all instances.
  static constexpr Duration kInForceTarget = 12s;

 private:
  void WriteSettingsFile(const std::string& id);
  std::string SettingsTreeText() const;

  TemporaryFolder folder_;
  int entry_count_;
  std::string service_settings_text_;
  PortReservation ports_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::map<std::pair<std::string, std::string>, int> peer_port_overrides_;
};

}  // namespace jacinth::test
