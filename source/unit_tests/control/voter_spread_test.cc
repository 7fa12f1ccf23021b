#include <cstdint>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/large_group.h"

namespace jacinth::control {
namespace {

using test::LargeGroup;

constexpr std::uint64_t kSeeds = 6;
/// Time within which the voters are spread, from the start of the machines to
/// the first traffic.
constexpr Duration kMaxSpread = 10s;
/// Number of voters that may be lost at once.
constexpr std::size_t kSparable = LargeGroup::kVoters / 2;

auto AllContacts() {
  return GENERATE(LargeGroup::Contacts::kInOneRegion,
                  LargeGroup::Contacts::kInAllRegions);
}

}  // namespace

// Pattern: a region is lost. Guards against a group that is left without a
// quorum, as its voters were chosen without regard to where they stand.
TEST_CASE("A change is acknowledged after the loss of any region") {
  const auto contacts = AllContacts();
  const std::size_t region =
      GENERATE(range(std::size_t{0}, LargeGroup::kRegions));
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(contacts), region, seed);
    LargeGroup group(seed, contacts);
    group.cluster.Run(kMaxSpread);
    CHECK(group.Voters().size() == LargeGroup::kVoters);
    CHECK(group.MostInRegion() <= kSparable);
    group.CrashRegion(region);
    group.cluster.Run(LargeGroup::kContact);
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
  }
}

// Pattern: a region is lost, then two disks elsewhere; all come back. Guards
// against voters that aren't replaced while a third of the machines is gone, or
// that stay away from a region that is back.
TEST_CASE("A group without a region bears two lost disks and spreads again") {
  const auto contacts = AllContacts();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(contacts), seed);
    LargeGroup group(seed, contacts);
    group.cluster.Run(kMaxSpread);
    const std::size_t lost = seed % LargeGroup::kRegions;
    group.CrashRegion(lost);
    group.cluster.Run(2 * LargeGroup::kContact);
    REQUIRE(group.Voters().size() == LargeGroup::kVoters);
    const std::set<std::string> voters = group.Voters();
    std::size_t wiped = 0;
    for (std::size_t i = 0; i < LargeGroup::kMachines; ++i) {
      if (voters.count(group.cluster.instance(i)) == 0)
        continue;
      CHECK_FALSE(group.IsInRegion(i, lost));
      if (wiped++ < kSparable)
        group.cluster.WipeDisk(i);
    }
    group.cluster.Run(LargeGroup::kContact);
    CHECK(group.AcknowledgeChange(LargeGroup::kMaxAck));
    group.RestartAll();
    group.cluster.Run(3 * LargeGroup::kContact);
    CHECK(group.Voters().size() == LargeGroup::kVoters);
    CHECK(group.MostInRegion() <= kSparable);
  }
}

// Pattern: all voters stand in one region, as the machines of the others start
// late. Guards against a group that never leaves it, or that has fewer voters
// than it may lose meanwhile.
TEST_CASE("Voters leave a crowded region one at a time") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LargeGroup group(seed, LargeGroup::Contacts::kInOneRegion);
    group.CrashRegion(1);
    group.CrashRegion(2);
    group.RunWithClaims(LargeGroup::kContact);
    REQUIRE(group.Voters().size() == LargeGroup::kVoters);
    group.RestartAll();
    const Time end = group.cluster.now() + 4 * LargeGroup::kContact;
    while (group.cluster.now() < end) {
      group.RunWithClaims(100ms);
      const auto leader = group.cluster.Leader();
      REQUIRE(leader);
      const std::size_t size =
          group.cluster.node(*leader)->replica()->configuration().voters.size();
      CHECK(size >= LargeGroup::kVoters);
      CHECK(size <= LargeGroup::kVoters + 1);
    }
    CHECK(group.Voters().size() == LargeGroup::kVoters);
    CHECK(group.MostInRegion() <= kSparable);
  }
}

// Pattern: a region is cut off and back again and again. Guards against voters
// that go there each time, to be replaced soon after.
TEST_CASE("Voters don't follow a region that comes and goes") {
  const auto contacts = AllContacts();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(contacts), seed);
    LargeGroup group(seed, contacts);
    group.cluster.Run(kMaxSpread);
    const std::size_t lost = seed % LargeGroup::kRegions;
    group.CrashRegion(lost);
    group.cluster.Run(2 * LargeGroup::kContact);
    const std::set<std::string> voters = group.Voters();
    REQUIRE(voters.size() == LargeGroup::kVoters);
    for (int i = 0; i < 4; ++i) {
      group.RestartAll();
      group.cluster.Run(2s);
      CHECK(group.Voters() == voters);
      group.CrashRegion(lost);
      group.cluster.Run(LargeGroup::kContact);
      CHECK(group.Voters() == voters);
    }
  }
}

// Guards against voters that are exchanged again and again in calm.
TEST_CASE("Voters stay where they are in calm") {
  const auto contacts = AllContacts();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(contacts), seed);
    LargeGroup group(seed, contacts);
    group.cluster.Run(kMaxSpread);
    const std::set<std::string> voters = group.Voters();
    for (int i = 0; i < 20; ++i) {
      group.RunWithClaims(1s);
      CHECK(group.Voters() == voters);
    }
  }
}

}  // namespace jacinth::control
