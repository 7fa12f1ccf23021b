#include <chrono>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/large_group.h"

namespace jacinth::control {
namespace {

using test::LargeGroup;

constexpr std::uint64_t kSeeds = 6;
constexpr Duration kMaxSpread = 10s;
/// Number of voters that may be lost at once.
constexpr std::size_t kSparable = LargeGroup::kVoters / 2;

LargeGroup MakeGroup(std::uint64_t seed) {
  LargeGroup group(seed, LargeGroup::Contacts::kInAllRegions);
  group.RunWithClaims(kMaxSpread);
  return group;
}

/// Returns `count` voters other than the leader whose disks work.
std::vector<std::size_t> Followers(const LargeGroup& group, std::size_t count) {
  std::vector<std::size_t> followers;
  const std::size_t leader = group.cluster.Leader().value();
  for (std::size_t i = 0; i < LargeGroup::kMachines; ++i) {
    if (i != leader && !group.cluster.IsDiskStalled(i) && group.IsVoter(i) &&
        followers.size() < count)
      followers.push_back(i);
  }
  return followers;
}

}  // namespace

// Pattern: the disks of two voters stand still, and later that of a third.
// Guards against voters that are kept as they answer heartbeats, so that the
// leader holds its lease and commits nothing.
TEST_CASE("Voters whose disks stand still are replaced") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LargeGroup group = MakeGroup(seed);
    const std::vector<std::size_t> stalled = Followers(group, kSparable);
    for (const std::size_t machine : stalled)
      group.cluster.StallDisk(machine);
    group.RunWithClaims(2 * LargeGroup::kContact);
    for (const std::size_t machine : stalled)
      CHECK_FALSE(group.IsVoter(machine));
    CHECK(group.Voters().size() == LargeGroup::kVoters);
    for (const std::size_t machine : Followers(group, kSparable))
      group.cluster.StallDisk(machine);
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
    CHECK(group.MostInRegion() <= kSparable);
  }
}

// Guards against a leader that leads on with a disk that stands still.
TEST_CASE("A leader whose disk stands still hands over") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LargeGroup group = MakeGroup(seed);
    const std::size_t stalled = group.cluster.Leader().value();
    group.cluster.StallDisk(stalled);
    group.RunWithClaims(2 * LargeGroup::kContact);
    REQUIRE(group.cluster.Leader());
    CHECK(group.cluster.Leader() != stalled);
    CHECK_FALSE(group.IsVoter(stalled));
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
  }
}

// Pattern: the disks of a majority stand still for a while. Guards against
// voters that are added while nothing can be committed, and against a group
// that is the worse for it afterwards.
TEST_CASE("A group serves again once enough of its disks do") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LargeGroup group = MakeGroup(seed);
    const std::vector<std::size_t> stalled = Followers(group, kSparable + 1);
    for (const std::size_t machine : stalled)
      group.cluster.StallDisk(machine);
    for (int i = 0; i < 10; ++i) {
      group.RunWithClaims(1s);
      const auto leader = group.cluster.Leader();
      REQUIRE(leader);
      CHECK(group.cluster.node(*leader)
                ->replica()
                ->configuration()
                .voters.size() == LargeGroup::kVoters);
    }
    group.cluster.ResumeDisk(stalled.front());
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
    group.RunWithClaims(2 * LargeGroup::kContact);
    for (std::size_t i = 1; i < stalled.size(); ++i)
      CHECK_FALSE(group.IsVoter(stalled[i]));
  }
}

// Guards against voters that are taken for lost as all disks are slow, or as no
// entry is written.
TEST_CASE("Voters with slow disks stay") {
  const Duration sync_time =
      GENERATE(Duration{50ms}, Duration{1s}, Duration{1'900ms});
  const bool writes = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(ToMillis(sync_time), writes, seed);
    LargeGroup group = MakeGroup(seed);
    group.cluster.sync_time = sync_time;
    const std::set<std::string> voters = group.Voters();
    const std::size_t leader = group.cluster.Leader().value();
    for (int i = 0; i < 20; ++i) {
      if (writes)
        group.RunWithClaims(1s);
      else
        group.cluster.Run(1s);
      CHECK(group.Voters() == voters);
      CHECK(group.cluster.Leader() == leader);
    }
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
  }
}

// Guards against a leader that hands over, or replaces voters, as one disk was
// slower than the others for a while.
TEST_CASE("Voters with disks of different speeds stay") {
  const int max_ms = GENERATE(1'900, 3'000);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(max_ms, seed);
    LargeGroup group = MakeGroup(seed);
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    std::uniform_int_distribution<int> sync_ms(max_ms / 4, max_ms);
    const std::set<std::string> voters = group.Voters();
    const std::size_t leader = group.cluster.Leader().value();
    for (int i = 0; i < 400; ++i) {
      group.cluster.sync_time = std::chrono::milliseconds(sync_ms(random));
      group.RunWithClaims(100ms);
      CHECK(group.Voters() == voters);
      CHECK(group.cluster.Leader() == leader);
    }
  }
}

}  // namespace jacinth::control
