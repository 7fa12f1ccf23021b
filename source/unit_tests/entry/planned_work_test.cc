#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "core/steering/nearest_entries.h"
#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::NarrowEntry;
using test::NarrowFleet;

constexpr int kRegions = 3;
constexpr int kDomainsPerRegion = 3;
/// Addresses that callers take from one answer.
constexpr std::size_t kMaxAddresses = 64;
/// Part of the requests that may be sent to other regions if nothing
/// unplanned happens.
constexpr double kMaxShareElsewhere = 1.0 / 20;

/// Time that the messages of an entry that starts wait at its link: it gets all
/// tables there, beside other traffic.
constexpr Duration kStartLinkDelay = 500ms;

/// Entries in regions and failure domains that are stopped and started again.
class RegionalFleet {
 public:
  explicit RegionalFleet(int entries_per_region)
      : entries_per_region_(entries_per_region),
        fleet_(kRegions * entries_per_region) {
    fleet_.Change({{"service/s", {{"probe_interval_ms", "0"}}},
                   {"route/safe",
                    {{"host", "h"},
                     {"path_prefix", "/"},
                     {"execution", "repeatable"},
                     {"service", "s"}}}});
    protocol::ListedEndpoint endpoint;
    endpoint.id = "i-1";
    endpoint.started_ms = 1;
    endpoint.service = "s";
    endpoint.address = "10.0.0.1:8080";
    endpoint.slots = 6;
    fleet_.ListEndpoints({endpoint});
    for (int i = 0; i < kRegions * entries_per_region; ++i)
      Start(i, Duration{0});
    fleet_.Run(5s);
  }

  /// Indices of the first entries of the first region.
  static std::vector<int> First(int count) {
    std::vector<int> indices(static_cast<std::size_t>(count));
    std::iota(indices.begin(), indices.end(), 0);
    return indices;
  }

  void Start(int index, Duration link_delay = kStartLinkDelay) {
    EntryOptions options = EntryDriver::DefaultOptions();
    const int region = index / entries_per_region_;
    options.self.id = "e" + std::to_string(index);
    options.self.incarnation = ++incarnations_;
    options.self.region = "region-" + std::to_string(region);
    options.self.failure_domain =
        options.self.region + "-" + std::to_string(index % kDomainsPerRegion);
    options.self.address = options.self.id;
    options.heartbeat = 300ms;
    options.control_timeout = 2s;
    options.can_list_endpoints = true;
    NarrowEntry& entry = Entry(index);
    entry.driver = std::make_unique<EntryDriver>(options);
    entry.deliveries.clear();
    entry.link_delay = link_delay;
    entry.is_down = false;
  }

  /// Ends the process of an entry.
  void End(int index) { Entry(index).is_down = true; }

  void Run(Duration duration) {
    for (Duration run{0}; run < duration; run += NarrowFleet::kStep) {
      fleet_.Run(NarrowFleet::kStep);
      CountAnswers();
    }
  }

  /// Stops the entries as planned, and starts each again when it has ended.
  void Restart(const std::vector<int>& indices) {
    for (const int index : indices)
      Entry(index).driver->Step(StopRequested{});
    std::vector<int> stopping = indices;
    while (!stopping.empty()) {
      Run(NarrowFleet::kStep);
      std::erase_if(stopping, [&](int index) {
        if (!Entry(index).driver->stopped)
          return false;
        Start(index);
        return true;
      });
    }
  }

  /// Stops the entries as planned, and doesn't start them again.
  void Stop(const std::vector<int>& indices) {
    for (const int index : indices)
      Entry(index).driver->Step(StopRequested{});
    std::vector<int> stopping = indices;
    while (!stopping.empty()) {
      Run(NarrowFleet::kStep);
      std::erase_if(stopping, [&](int index) {
        if (!Entry(index).driver->stopped)
          return false;
        End(index);
        return true;
      });
    }
  }

  /// Runs until all entries can serve callers.
  void RunUntilReady() {
    const auto is_ready = [](const NarrowEntry& entry) {
      const auto& snapshot = entry.driver->snapshot;
      return snapshot != nullptr && !snapshot->awaits_endpoints;
    };
    const auto& entries = fleet_.entries();
    while (!std::all_of(entries.begin(), entries.end(), is_ready))
      Run(NarrowFleet::kStep);
  }

  /// Returns the share of the first region's callers that answers have sent to
  /// other regions since the last call. Callers use one of the named addresses
  /// at random.
  double TakeShareElsewhere() {
    const double share = answers_ == 0 ? 0 : share_sum_ / answers_;
    share_sum_ = 0;
    answers_ = 0;
    return share;
  }

  /// Returns the entries that a directory names to callers in the first
  /// region.
  std::vector<std::string> NamedBy(int directory) {
    std::vector<std::string> ids;
    for (const auto* entry :
         steering::NearestEntries(*Entry(directory).driver->snapshot,
                                  "region-0", "region-0-0", kMaxAddresses))
      ids.push_back(entry->id);
    return ids;
  }

  NarrowFleet& fleet() { return fleet_; }
  int size() const { return kRegions * entries_per_region_; }

  NarrowEntry& Entry(int index) {
    return fleet_.entries().at(static_cast<std::size_t>(index));
  }

 private:
  void CountAnswers() {
    for (int i = 0; i < entries_per_region_; ++i) {
      const NarrowEntry& directory = Entry(i);
      if (directory.is_down || directory.driver->snapshot == nullptr)
        continue;
      const protocol::EntryStatus& self = directory.driver->snapshot->self;
      const auto named =
          steering::NearestEntries(*directory.driver->snapshot, self.region,
                                   self.failure_domain, kMaxAddresses);
      if (named.empty())
        continue;
      const auto elsewhere = std::count_if(
          named.begin(), named.end(),
          [&](const auto* entry) { return entry->region != self.region; });
      share_sum_ +=
          static_cast<double>(elsewhere) / static_cast<double>(named.size());
      ++answers_;
    }
  }

  int entries_per_region_;
  NarrowFleet fleet_;
  std::uint64_t incarnations_ = 0;
  double share_sum_ = 0;
  int answers_ = 0;
};

}  // namespace

// Guards against planned work that makes callers leave their region: entries
// that start count as lost ones, though callers never were at them.
TEST_CASE("A roll of many entries sends no callers to other regions") {
  RegionalFleet fleet(60);
  const int restarted = GENERATE(20, 25, 40);
  fleet.Run(1s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  fleet.Restart(RegionalFleet::First(restarted));
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against callers who leave a small region for the entries that stop.
TEST_CASE("A roll that leaves one entry of a region sends no callers away") {
  const int entries = GENERATE(2, 3);
  RegionalFleet fleet(entries);
  fleet.Run(1s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  fleet.Restart(RegionalFleet::First(entries - 1));
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against the same while the entries are gone for longer than the member
// list shows them.
TEST_CASE("Entries that are slow to start again send no callers away") {
  const int entries = GENERATE(2, 3);
  RegionalFleet fleet(entries);
  fleet.TakeShareElsewhere();
  const std::vector<int> restarted = RegionalFleet::First(entries - 1);
  fleet.Stop(restarted);
  fleet.Run(5s);
  CHECK(fleet.NamedBy(entries - 1).size() == 1);
  for (const int index : restarted)
    fleet.Start(index);
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against callers who leave a region for its size.
TEST_CASE("Callers of a region with one entry stay there") {
  RegionalFleet fleet(1);
  fleet.Run(5s);
  CHECK(fleet.TakeShareElsewhere() == 0);
}

// Guards against an entry that is left alone with the callers of those that
// failed.
TEST_CASE("Another region stands in for an entry that vanished") {
  RegionalFleet fleet(2);
  fleet.End(0);
  fleet.Run(3s);
  CHECK(fleet.NamedBy(1).size() == 2);
  fleet.Start(0, 700ms);
  fleet.Run(1s);
  CHECK(fleet.Entry(1).session().members().front().starting);
  CHECK(fleet.NamedBy(1).size() == 2);
  fleet.RunUntilReady();
  fleet.Run(3s);
  CHECK(fleet.NamedBy(1) == std::vector<std::string>{"e0", "e1"});
}

// Guards against callers without an address that serves them: those of a region
// whose last entry fails, or where all stop at once.
TEST_CASE("A region without entries is served by all others") {
  RegionalFleet fleet(3);
  SECTION("if the last one vanishes") {
    fleet.Stop({0, 1});
    fleet.Run(2s);
    fleet.End(2);
    fleet.Run(2s);
  }
  SECTION("if all stop") {
    fleet.Stop({0, 1, 2});
  }
  CHECK(fleet.NamedBy(3).size() == 6);
  CHECK(fleet.NamedBy(6) == fleet.NamedBy(3));
  fleet.Start(0);
  fleet.Start(1);
  fleet.Run(3s);
  CHECK(fleet.NamedBy(3).size() == 2);
  CHECK(fleet.NamedBy(6) == fleet.NamedBy(3));
}

// Guards against callers who leave their region for work that is planned
// anywhere in the fleet.
TEST_CASE("Planned work sends no callers to other regions") {
  const int entries = GENERATE(1, 2, 3, 12);
  RegionalFleet fleet(entries);
  fleet.TakeShareElsewhere();
  SECTION("a change") {
    fleet.fleet().Change({{"route/more",
                           {{"host", "h"},
                            {"path_prefix", "/more/"},
                            {"execution", "repeatable"},
                            {"service", "s"}}}});
  }
  SECTION("a new leader") {
    fleet.fleet().ReplaceLeader();
  }
  SECTION("an evacuation elsewhere") {
    fleet.fleet().Change(
        {{"region/region-1/failure_domain/region-1-0", {{"drain", "true"}}}});
  }
  SECTION("a stop of another region") {
    std::vector<int> elsewhere(static_cast<std::size_t>(entries));
    std::iota(elsewhere.begin(), elsewhere.end(), entries);
    fleet.Stop(elsewhere);
  }
  SECTION("a roll of a quarter of the fleet at a time") {
    // The only entry of a region can't restart without its callers leaving.
    const int first = entries == 1 ? 1 : 0;
    const int batch = std::max(fleet.size() / 4, 1);
    for (int begin = first; begin < fleet.size(); begin += batch) {
      std::vector<int> indices;
      for (int i = begin; i < std::min(begin + batch, fleet.size()); ++i)
        indices.push_back(i);
      fleet.Restart(indices);
      fleet.RunUntilReady();
    }
  }
  fleet.Run(10s);
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(entries, share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

// Guards against the same when entries are added.
TEST_CASE("Entries that join send no callers to other regions") {
  RegionalFleet fleet(6);
  for (const int index : RegionalFleet::First(3))
    fleet.End(index);
  fleet.Run(5s);
  CHECK(fleet.TakeShareElsewhere() == 0);
  for (const int index : RegionalFleet::First(3))
    fleet.Start(index);
  fleet.RunUntilReady();
  const double share_elsewhere = fleet.TakeShareElsewhere();
  CAPTURE(share_elsewhere);
  CHECK(share_elsewhere <= kMaxShareElsewhere);
}

}  // namespace jacinth::entry
