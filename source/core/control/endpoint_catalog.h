#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/table_digest.h"

namespace jacinth::control {

/// The leader's copy of the platform's endpoint list, versioned so that entries
/// are sent only the changes. Not replicated: a new leader reads the list
/// again.
class EndpointCatalog {
 public:
  /// Clears the catalog at the start of a leader's term.
  void Reset(std::uint64_t term);

  /// Replaces the contents by a complete listing; returns true if anything
  /// changed. An endpoint that was listed as draining stays draining while its
  /// start time and address are the same, because listings can arrive out of
  /// order.
  bool ApplyListing(const std::vector<protocol::ListedEndpoint>& list,
                    Time now);

  /// Marks the listed process of an endpoint as draining if that is the one in
  /// the report. Returns true if that is new.
  bool ApplyDrainReport(const protocol::DrainReport& report);

  /// Version of the list; 0 before the first listing.
  std::uint64_t version() const { return version_; }

  /// Returns the changes since `version`, or the whole list if the changes
  /// since then are no longer kept. The update's version is 0 if there is no
  /// change.
  protocol::EndpointUpdate UpdateFor(std::uint64_t version, Time now) const;

  /// Returns what an entry lacks whose list has `digest`, whichever leader it
  /// is from.
  protocol::EndpointUpdate UpdateForDigest(const std::string& digest,
                                           Time now) const;

  /// Returns true if UpdateFor can give the changes since `version`.
  bool KeepsChangesSince(std::uint64_t version) const {
    return version_ != 0 && version >= first_version_ && version <= version_;
  }

  /// Returns all endpoints, with the warm-up time that remains at `now`.
  std::vector<protocol::ListedEndpoint> Endpoints(Time now) const;

  /// Returns true if the endpoint is known to drain.
  bool IsDraining(const std::string& id) const;

  std::size_t size() const { return endpoints_.size(); }

 private:
  struct TrackedEndpoint {
    protocol::ListedEndpoint endpoint;
    Time cold_until{};
    /// Version in which the endpoint last changed.
    std::uint64_t changed = 0;
  };

  bool UpdateEndpoint(const protocol::ListedEndpoint& endpoint,
                      std::uint64_t version,
                      Time now);
  void SetChanged(TrackedEndpoint& tracked, std::uint64_t version);
  static protocol::ListedEndpoint ToListedEndpoint(
      const TrackedEndpoint& tracked,
      Time now);

  /// Oldest version from which UpdateFor can give the changes.
  std::uint64_t first_version_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, TrackedEndpoint> endpoints_;
  /// Ids of all endpoints by the version in which they last changed.
  std::set<std::pair<std::uint64_t, std::string>> by_change_;
  /// Version of each removal and the id of the removed endpoint, oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> removed_;
};

}  // namespace jacinth::control
