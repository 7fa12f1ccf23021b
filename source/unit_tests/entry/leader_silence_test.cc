#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/listing_fleet.h"

namespace jacinth::entry {
namespace {

using protocol::HeartbeatReply;
using test::ListingFleet;

/// `config_propagation_ms` of the users' small deployments, which have the
/// lower bound.
constexpr Duration kPropagation = 2500ms;
constexpr std::uint64_t kSeeds = 6;

const std::vector<protocol::BranchChange> kChange = {
    {"region/west/failure_domain/west-b", {{"drain", "true"}}}};

}  // namespace

// Guards against requests decided by settings that were replaced, because a
// leader that is kept busy sends nothing to entries while it keeps its lease.
TEST_CASE(
    "A change is in force in time though the leader's messages are lost") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ListingFleet fleet(seed);
    REQUIRE(fleet.AllHoldSettings());
    fleet.loses = [](const std::string&, const HeartbeatReply& reply) {
      return reply.leader;
    };
    fleet.Change(kChange);
    fleet.Run(kPropagation);
    CHECK(fleet.AllHoldSettings());
  }
}

// Guards against questions that take a part of the entries' links, and of the
// replicas' time, while the leader answers.
TEST_CASE("Replicas aren't asked for settings while the leader answers") {
  ListingFleet fleet(1);
  int answers = 0;
  fleet.loses = [&](const std::string&, const HeartbeatReply& reply) {
    answers += !reply.leader && reply.revision != 0 ? 1 : 0;
    return false;
  };
  fleet.Change(kChange);
  fleet.Run(5s);
  CHECK(fleet.AllHoldSettings());
  CHECK(answers == 0);
}

}  // namespace jacinth::entry
