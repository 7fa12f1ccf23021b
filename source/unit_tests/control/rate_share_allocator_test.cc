#include "core/control/rate_share_allocator.h"

#include <map>
#include <random>
#include <set>
#include <string>

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

constexpr Time kNow{100s};
const protocol::EndpointKey kEndpoint{"s", "a"};

protocol::RateLimitReport MakeReport(std::optional<double> limit,
                                     double demand,
                                     bool was_told = true,
                                     std::int64_t age_ms = 0) {
  return {kEndpoint, 1, limit, was_told, age_ms, demand, std::nullopt};
}

double ShareOf(const RateShareAllocator& allocator, const std::string& entry) {
  const auto update = allocator.UpdateFor(entry, 0);
  return update.shares.empty() ? -1 : update.shares.front().share_per_s;
}

}  // namespace

TEST_CASE("A rate limit is divided by demand, and never exceeded") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(10, 30), kNow);
  allocator.OnReport("e2", MakeReport(10, 10), kNow);
  allocator.OnReport("e3", MakeReport(std::nullopt, 0, false, -1), kNow);
  allocator.Allocate(kNow);
  CHECK(ShareOf(allocator, "e1") > ShareOf(allocator, "e2"));
  CHECK(ShareOf(allocator, "e2") > 0);
  CHECK(ShareOf(allocator, "e3") == 0);
  CHECK(ShareOf(allocator, "e1") + ShareOf(allocator, "e2") <= 10.0001);
  CHECK(allocator.IsLimited(kEndpoint));
}

// Guards against more requests than the limit at the moment when every sharer
// sends the one request that it may send ahead of its share.
TEST_CASE("A low rate limit is divided among a few entries") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  for (int i = 0; i < 70; ++i)
    allocator.OnReport("e" + std::to_string(i), MakeReport(2.5, 1), kNow);
  allocator.Allocate(kNow);
  int sharers = 0;
  double total = 0;
  for (int i = 0; i < 70; ++i) {
    const double share = ShareOf(allocator, "e" + std::to_string(i));
    sharers += share > 0 ? 1 : 0;
    total += share;
  }
  CHECK(sharers >= 1);
  CHECK(sharers <= 4);
  CHECK(total <= 2.5001);
}

TEST_CASE("The newest answer decides, whichever entry received it") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(10, 1), kNow);
  allocator.OnReport("e2", MakeReport(4, 1, true, 500), kNow + 100ms);
  allocator.Allocate(kNow + 100ms);
  CHECK(allocator.UpdateFor("e1", 0).shares.front().limit_per_s == 10);
  allocator.OnReport("e2", MakeReport(4, 1), kNow + 200ms);
  allocator.Allocate(kNow + 200ms);
  CHECK(allocator.UpdateFor("e1", 0).shares.front().limit_per_s == 4);
}

// Guards against ending a limit that an endpoint names to some entries only.
TEST_CASE(
    "Answers without a limit to entries that were never told count only "
    "after a while") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(10, 1), kNow);
  allocator.OnReport("e2", MakeReport(std::nullopt, 5, false), kNow + 5s);
  CHECK(allocator.IsLimited(kEndpoint));
  SECTION("an entry that was told ends the limit at once") {
    allocator.OnReport("e1", MakeReport(std::nullopt, 5), kNow + 6s);
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
    // An older answer that arrives late doesn't bring it back.
    allocator.OnReport("e3", MakeReport(10, 1, true, 3'000), kNow + 7s);
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
  }
  SECTION(
      "an entry that was not told ends it once no other has been told for "
      "long") {
    allocator.OnReport("e2", MakeReport(std::nullopt, 5, false), kNow + 11s);
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
  }
}

// Guards against losing a limit when the entries that were told of it restart
// and the leader changes.
TEST_CASE("A new leader relies on the limits that its predecessor sent") {
  RateShareAllocator allocator;
  allocator.Reset(2);
  auto report = MakeReport(std::nullopt, 5, false);
  report.shared_limit_per_s = 3;
  allocator.OnReport("e2", report, kNow);
  CHECK(allocator.IsLimited(kEndpoint));
  SECTION("until the endpoint tells another one") {
    allocator.OnReport("e1", MakeReport(7, 1), kNow + 1s);
    allocator.Allocate(kNow + 1s);
    CHECK(allocator.UpdateFor("e1", 0).shares.front().limit_per_s == 7);
  }
  SECTION("until the endpoint has long named none") {
    allocator.OnReport("e2", MakeReport(std::nullopt, 5, false), kNow + 6s);
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
  }
}

TEST_CASE("A rate limit ends with the incarnation of its endpoint") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(10, 1), kNow);
  allocator.RetainEndpoints({{kEndpoint, 1}});
  CHECK(allocator.IsLimited(kEndpoint));
  SECTION("which restarts") {
    allocator.RetainEndpoints({{kEndpoint, 2}});
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
  }
  SECTION("which leaves the list") {
    allocator.RetainEndpoints({});
    CHECK_FALSE(allocator.IsLimited(kEndpoint));
  }
  SECTION("of which a report from before the restart says nothing") {
    allocator.RetainEndpoints({{kEndpoint, 2}});
    auto report = MakeReport(10, 1);
    report.started_ms = 2;
    allocator.OnReport("e1", report, kNow + 1s);
    allocator.OnReport("e2", MakeReport(3, 1), kNow + 2s);
    allocator.Allocate(kNow + 2s);
    CHECK(allocator.UpdateFor("e1", 0).shares.front().limit_per_s == 10);
  }
}

// Guards against an endpoint that stays closed because nobody asks it again.
TEST_CASE("One entry goes on sending to an endpoint whose limit is 0") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(0, 3), kNow);
  allocator.OnReport("e2", MakeReport(0, 1), kNow);
  allocator.Allocate(kNow);
  CHECK(ShareOf(allocator, "e1") > 0);
  CHECK(ShareOf(allocator, "e1") <= 0.1);
  CHECK(ShareOf(allocator, "e2") == 0);
}

TEST_CASE("The share of an entry that is gone goes to the others") {
  RateShareAllocator allocator;
  allocator.Reset(1);
  allocator.OnReport("e1", MakeReport(10, 5), kNow);
  allocator.OnReport("e2", MakeReport(10, 5), kNow);
  allocator.Allocate(kNow);
  const std::uint64_t version = allocator.version();
  CHECK(allocator.UpdateFor("e1", version).unchanged);
  allocator.RetainEntries({"e1"});
  allocator.Allocate(kNow + 1s);
  CHECK(allocator.version() > version);
  CHECK(ShareOf(allocator, "e1") == Approx(10));
}

// Guards against a leader that sends all shares to all entries whenever the
// demand of one of them changes (docs/incidents/home.md).
TEST_CASE("A change of demand is told to those whose shares it changes") {
  constexpr int kEntries = 185;
  constexpr int kEndpoints = 40;
  constexpr double kLimit = 5;
  constexpr std::size_t kMaxSharers = 7;
  RateShareAllocator allocator;
  allocator.Reset(1);
  std::set<std::string> entries;
  for (int i = 0; i < kEntries; ++i)
    entries.insert("e" + std::to_string(i));
  auto report = MakeReport(kLimit, 1);
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    report.key.endpoint = std::to_string(endpoint);
    for (const std::string& entry : entries)
      allocator.OnReport(entry, report, kNow);
  }
  allocator.Allocate(kNow);
  const std::uint64_t held = allocator.version();
  report.demand_per_s = 50;
  allocator.OnReport("e17", report, kNow + 1s);
  allocator.Allocate(kNow + 1s);
  REQUIRE(allocator.version() > held);
  std::size_t told = 0;
  for (const std::string& entry : entries)
    told += allocator.UpdateFor(entry, held).unchanged ? 0 : 1;
  CHECK_FALSE(allocator.UpdateFor("e17", held).unchanged);
  CHECK(told <= 2 * kMaxSharers);
}

// Guards against an entry that goes on with shares that have changed.
TEST_CASE("Entries hold the newest shares whichever updates they were sent") {
  const unsigned seed = GENERATE(range(1U, 41U));
  const bool takes_changes = GENERATE(false, true);
  CAPTURE(seed, takes_changes);
  std::mt19937 random(seed);
  const auto below = [&](unsigned limit) {
    return static_cast<int>(random() % limit);
  };
  RateShareAllocator allocator;
  std::uint64_t term = 1;
  allocator.Reset(term);
  std::map<std::string, protocol::RateShareUpdate> held;
  for (int i = 0; i < 8; ++i)
    held["e" + std::to_string(i)];
  Time now = kNow;
  for (int step = 0; step < 300; ++step) {
    now += std::chrono::milliseconds(below(400));
    const auto name = [&](unsigned limit) {
      return std::to_string(below(limit));
    };
    auto report = MakeReport(1 + below(3), below(20), below(4) != 0);
    report.key.endpoint = name(5);
    report.started_ms = below(50) == 0 ? 2 : 1;
    if (below(5) == 0)
      report.limit_per_s.reset();
    allocator.OnReport("e" + name(8), report, now);
    if (below(40) == 0)
      allocator.RetainEntries({"e0", "e1", "e" + name(8)});
    if (below(60) == 0)
      allocator.RetainEndpoints({{{"s", name(5)}, 1}, {{"s", name(5)}, 2}});
    if (below(100) == 0)
      allocator.Reset(++term);
    allocator.Allocate(now);
    for (auto& [entry, list] : held) {
      // The entry was started anew, or misses this update.
      if (below(30) == 0)
        list = {};
      if (below(3) == 0)
        continue;
      const auto update = takes_changes
                              ? allocator.ChangesFor(entry, list.version)
                              : allocator.UpdateFor(entry, list.version);
      REQUIRE(update.version != 0);
      if (update.unchanged)
        REQUIRE(update.version == list.version);
      else
        REQUIRE(protocol::ApplyRateShares(update, list));
      REQUIRE(list.shares == allocator.UpdateFor(entry, 0).shares);
    }
  }
}

}  // namespace jacinth::control
