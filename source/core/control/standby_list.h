#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/heartbeat.h"
#include "core/protocol/table_digest.h"

namespace jacinth::control {

/// What a replica that doesn't lead tells entries that miss their leader: the
/// endpoints that drain, from readings of the platform's list of its own, so
/// that entries needn't wait for an election to learn of them.
class StandbyList {
 public:
  /// What an entry has asked.
  struct Asker {
    Time asked;
    /// Sequence number of the heartbeat that asks.
    std::uint64_t sequence = 0;
    /// TableDigest of the entry's endpoints; empty if it tells none.
    std::string digest;
  };

  /// Records the question of an entry.
  void OnAsked(const protocol::Heartbeat& heartbeat, Time now);

  /// Returns true if the list must be read now: at most once per interval.
  bool TakeReading(Time now);

  /// Replaces what is known by a listing whose reading began at `began`.
  void ApplyListing(const std::vector<protocol::ListedEndpoint>& list,
                    Time began);

  /// Tells an entry that asked at `asked` how current the drains are; nothing
  /// if the list was never read, or names drains that can't be passed on and
  /// that an entry whose endpoints have this `digest` may not know.
  std::optional<protocol::ListingState> StateAt(
      Time asked,
      const std::string& digest) const;

  /// Returns the endpoints that drain, as of the last listing, in the parts of
  /// the list in which that of `digest` differs. All, if `digest` is empty.
  std::vector<protocol::DrainReport> DrainsFor(const std::string& digest) const;

  /// Returns the entries that have asked lately, by id.
  const std::map<std::string, Asker>& Askers(Time now);

 private:
  std::map<std::string, Asker> askers_;
  Time next_reading_{};
  protocol::TableDigest digest_ = protocol::MakeEndpointDigest();
  /// Time at which the reading of the last listing began.
  std::optional<Time> read_at_;
  /// With the part of the list that each belongs to.
  std::vector<std::pair<int, protocol::DrainReport>> drains_;
  /// Parts of the list with drains that can't be passed on.
  std::set<int> unreported_parts_;
};

}  // namespace jacinth::control
