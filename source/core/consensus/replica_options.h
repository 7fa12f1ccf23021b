#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace jacinth::consensus {

/// Fixed parameters of one replica.
struct ReplicaOptions {
  /// Replica id; see protocol::Configuration.
  std::string id;
  /// Minimum time without a message from the leader before an election. The
  /// actual time is random between this and twice this.
  Duration election_timeout{0};
  Duration heartbeat{0};
  /// Number of voters up to which the group grows; further replicas only
  /// replace silent voters. 0 for no limit.
  std::size_t target_voters = 0;
  /// Time of silence after which a caught-up learner can replace a voter, and
  /// after which a learner is removed.
  Duration replace_after{0};
  /// Maximum number of entries in one message.
  std::size_t max_entries_per_message = 512;
  /// Maximum number of unacknowledged messages with entries to one follower.
  std::size_t max_inflight = 4;
  /// Maximum difference in rate between the clocks of two instances, in
  /// percent. The leader's lease ends this part of the election timeout before
  /// followers can vote again.
  int clock_drift_percent = 10;
};

}  // namespace jacinth::consensus
