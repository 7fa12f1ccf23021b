#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/common/time.h"
#include "core/protocol/location.h"

namespace jacinth::consensus {

/// Fixed parameters of one replica.
struct ReplicaOptions {
  /// Replica id; see protocol::Configuration.
  std::string id;
  /// Where this replica stands, for the choice of voters.
  protocol::Location location;
  /// Minimum time without a message from the leader before an election. The
  /// actual time is random between this and twice this.
  Duration election_timeout{0};
  Duration heartbeat{0};
  /// Number of voters up to which the group grows; further replicas only
  /// replace silent voters. 0 for no limit.
  std::size_t target_voters = 0;
  /// Time without a reply, or without the confirmation of an entry while some
  /// are owed, after which a voter can be replaced by a caught-up learner. A
  /// learner is removed after such a time without a reply, and a leader whose
  /// own disk stands still for so long hands over.
  Duration replace_after{0};
  /// Maximum number of entries in one message.
  std::size_t max_entries_per_message = 512;
  /// Maximum number of unacknowledged messages with entries to one follower.
  std::size_t max_inflight = 4;
  /// Maximum difference in rate between the clocks of two instances, in
  /// percent. The leader's lease is shorter than the election timeout by this
  /// percentage, so that it ends before followers can vote again.
  int clock_drift_percent = 10;
};

}  // namespace jacinth::consensus
