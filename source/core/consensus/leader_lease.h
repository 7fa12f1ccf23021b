#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/common/time.h"
#include "core/protocol/configuration.h"

namespace jacinth::consensus {

/// Tracks the latest time at which a quorum of voters is certain to have
/// followed this leader.
///
/// Each message to followers carries a round number. A reply to a round proves
/// that the follower received a message of the leader no earlier than the round
/// was sent, so it doesn't vote for another candidate until an election timeout
/// after that.
class LeaderLease {
 public:
  explicit LeaderLease(Time start) : start_(start) {}

  /// Returns the time at which the replica became leader.
  Time start() const { return start_; }

  /// Starts a round and returns its number.
  std::uint64_t StartRound(Time now);

  /// Records that `follower` replied to a message of `round`.
  void RecordReply(const std::string& follower, std::uint64_t round);

  /// Returns the latest time at which `follower` is known to have followed this
  /// leader, or start() if it hasn't replied yet.
  Time LastContact(const std::string& follower) const;

  /// Returns true if the follower has replied in this term.
  bool HasReplied(const std::string& follower) const {
    return last_contacts_.count(follower) != 0;
  }

  /// Returns the latest time at which a quorum, including `self`, is known to
  /// have followed this leader, or Time::min() if there is none.
  Time QuorumContact(const protocol::Configuration& configuration,
                     const std::string& self,
                     Time now) const;

 private:
  struct Round {
    std::uint64_t number;
    Time sent;
  };

  Time start_;
  std::uint64_t last_round_ = 0;
  std::deque<Round> rounds_;
  std::map<std::string, Time> last_contacts_;
};

}  // namespace jacinth::consensus
