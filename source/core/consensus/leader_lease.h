#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/common/time.h"
#include "core/protocol/configuration.h"

namespace jacinth::consensus {

/// Knows since when a quorum of voters has surely been following this leader.
///
/// Each message to followers carries a round; a reply to a round proves that
/// the follower heard from the leader no earlier than the round was sent, and
/// so won't vote for another before an election timeout after that.
class LeaderLease {
 public:
  explicit LeaderLease(Time start) : start_(start) {}

  /// When the replica became leader.
  Time start() const { return start_; }

  /// Starts a round; returns its number.
  std::uint64_t StartRound(Time now);

  /// Notes that `follower` answered a message of `round`.
  void OnReply(const std::string& follower, std::uint64_t round);

  /// Latest time at which `follower` is known to have followed; the leader's
  /// start if it hasn't answered yet.
  Time ContactOf(const std::string& follower) const;

  /// Latest time at which a quorum, `self` included, is known to have followed;
  /// Time::min() if it never was.
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
  std::map<std::string, Time> contacts_;
};

}  // namespace jacinth::consensus
