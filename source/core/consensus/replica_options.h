#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace jacinth::consensus {

/// Fixed parameters of one replica.
struct ReplicaOptions {
  /// Replica id, see protocol::Configuration.
  std::string id;
  /// Shortest silence of the leader before an election; the wait is drawn
  /// between this and twice this.
  Duration election_timeout{0};
  Duration heartbeat{0};
  /// Voters that the group grows to; a further replica only takes the place of
  /// one that is silent. 0 for no bound.
  std::size_t target_voters = 0;
  /// Silence after which a voter may be replaced by a caught-up learner, and a
  /// learner is dropped.
  Duration replace_after{0};
  /// Most entries sent in one message.
  std::size_t max_entries_per_message = 512;
  /// Most unacknowledged messages with entries to one follower.
  std::size_t max_inflight = 4;
  /// Largest difference in rate between two instances' clocks, in percent. The
  /// leader's lease ends this much before followers may vote again.
  int clock_drift_percent = 10;
};

}  // namespace jacinth::consensus
