#include "core/consensus/leader_lease.h"

#include <catch2/catch.hpp>

namespace jacinth::consensus {
namespace {

const protocol::Configuration kThreeVoters{{"a", "b", "c"}, {}};
constexpr Time kStart{100s};

}  // namespace

TEST_CASE("A reply proves contact from the time its round was sent") {
  LeaderLease lease(kStart);
  const auto first = lease.StartRound(kStart + 10ms);
  lease.StartRound(kStart + 20ms);
  CHECK(lease.QuorumContact(kThreeVoters, "a", kStart + 30ms) == Time::min());
  lease.RecordReply("b", first);
  CHECK(lease.QuorumContact(kThreeVoters, "a", kStart + 30ms) == kStart + 10ms);
}

TEST_CASE("A late reply to an old round doesn't shorten the lease") {
  LeaderLease lease(kStart);
  const auto first = lease.StartRound(kStart + 10ms);
  const auto second = lease.StartRound(kStart + 20ms);
  lease.RecordReply("b", second);
  lease.RecordReply("b", first);
  CHECK(lease.QuorumContact(kThreeVoters, "a", kStart + 30ms) == kStart + 20ms);
}

TEST_CASE("A reply to a round that was never sent is ignored") {
  LeaderLease lease(kStart);
  lease.StartRound(kStart);
  lease.RecordReply("b", 99);
  CHECK(lease.QuorumContact(kThreeVoters, "a", kStart) == Time::min());
}

}  // namespace jacinth::consensus
