#include "core/steering/nearest_entries.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;

/// Addresses that callers take from one answer.
constexpr std::size_t kMaxAddresses = 64;
/// Requests that an instance is sized for, as a multiple of those in calm
/// times: callers stay in a region of which 60 % are left.
constexpr double kMaxLoad = 1 / 0.6;
constexpr int kDomainsPerRegion = 3;

/// Three regions of three failure domains each, in the order of the member
/// list.
SteeringSnapshot MakeSnapshot(int entries_per_region) {
  SteeringSnapshot snapshot;
  for (const std::string region : {"east", "north", "west"}) {
    for (int i = 0; i < entries_per_region; ++i) {
      EntryStatus entry;
      entry.region = region;
      entry.failure_domain =
          region + "-" +
          std::to_string(i * kDomainsPerRegion / entries_per_region);
      entry.id = entry.failure_domain + "-" + std::to_string(i);
      entry.address = entry.id;
      snapshot.members.push_back(entry);
    }
  }
  snapshot.self = snapshot.members.front();
  return snapshot;
}

/// Cuts entries of a region off, evenly over its failure domains.
void Isolate(SteeringSnapshot& snapshot, const std::string& region, int count) {
  std::vector<EntryStatus*> in_region;
  for (EntryStatus& entry : snapshot.members) {
    if (entry.region == region)
      in_region.push_back(&entry);
  }
  const auto step = static_cast<double>(in_region.size()) / count;
  for (int i = 0; i < count; ++i)
    in_region[static_cast<std::size_t>(i * step)]->isolated = true;
}

/// Load of each entry, as a multiple of that of calm times, if each failure
/// domain has as many callers as entries and these use one of the named
/// addresses at random.
std::map<std::string, double> LoadById(const SteeringSnapshot& snapshot) {
  std::map<std::string, double> load;
  for (const EntryStatus& caller : snapshot.members) {
    const auto named = NearestEntries(snapshot, caller.region,
                                      caller.failure_domain, kMaxAddresses);
    for (const EntryStatus* entry : named)
      load[entry->id] += 1.0 / static_cast<double>(named.size());
  }
  return load;
}

double MaxLoad(const SteeringSnapshot& snapshot) {
  double max_load = 0;
  for (const auto& [id, load] : LoadById(snapshot))
    max_load = std::max(max_load, load);
  return max_load;
}

double ShareInRegion(const SteeringSnapshot& snapshot,
                     const std::string& region,
                     const std::string& failure_domain) {
  const auto named =
      NearestEntries(snapshot, region, failure_domain, kMaxAddresses);
  const auto in_region = std::count_if(
      named.begin(), named.end(),
      [&](const EntryStatus* entry) { return entry->region == region; });
  return static_cast<double>(in_region) / static_cast<double>(named.size());
}

}  // namespace

// Guards against callers that leave a region although entries there could serve
// them: these must be named first and bear what they are sized for.
TEST_CASE("Callers who leave a region still use what is left of it") {
  const int entries = GENERATE(3, 6, 60, 71);
  SteeringSnapshot snapshot = MakeSnapshot(entries);
  const int isolated = entries / 2 + 1;
  Isolate(snapshot, "west", isolated);
  const auto usable = static_cast<double>(entries - isolated);
  CAPTURE(entries);
  for (const std::string domain : {"west-0", "west-1", "west-2"}) {
    // Each entry bears at least what it does in calm times.
    CHECK(ShareInRegion(snapshot, "west", domain) >=
          std::min(usable / entries, 1.0));
  }
}

// Guards against an overload of the entries of other regions that come first in
// the member list.
TEST_CASE("Callers who leave a region are spread over all others") {
  const int entries = GENERATE(6, 60, 71);
  const int isolated = GENERATE(1, 2) * entries / 2;
  SteeringSnapshot snapshot = MakeSnapshot(entries);
  Isolate(snapshot, "west", isolated);
  CAPTURE(entries, isolated);
  CHECK(MaxLoad(snapshot) <= kMaxLoad);
}

// Guards against a few entries of other regions that get the callers of a
// region whose last entry is cut off while the others restart.
TEST_CASE("All others stand in for a region of which no entry is left") {
  const int entries = GENERATE(6, 60, 71);
  SteeringSnapshot snapshot = MakeSnapshot(entries);
  Isolate(snapshot, "west", 1);
  for (EntryStatus& entry : snapshot.members)
    entry.draining = entry.region == "west" && !entry.isolated;
  CAPTURE(entries);
  CHECK(MaxLoad(snapshot) <= kMaxLoad);
}

// Guards against callers who cross regions for nothing: those of all regions
// change places if all lack as much.
TEST_CASE("Callers stay if all regions have lost as many entries") {
  const int entries = GENERATE(6, 60);
  SteeringSnapshot snapshot = MakeSnapshot(entries);
  for (const std::string region : {"east", "north", "west"})
    Isolate(snapshot, region, entries * 2 / 3);
  CAPTURE(entries);
  CHECK(ShareInRegion(snapshot, "west", "west-1") == 1);
  // The others stand in as far as they are better off.
  for (EntryStatus& entry : snapshot.members)
    entry.isolated = entry.isolated && entry.region == "west";
  CHECK(ShareInRegion(snapshot, "west", "west-1") <= 0.4);
}

// Guards against entries of a large region that no answer names.
TEST_CASE("All entries of a region with more than an answer names are used") {
  const SteeringSnapshot snapshot = MakeSnapshot(71);
  CHECK(LoadById(snapshot).size() == snapshot.members.size());
  CHECK(MaxLoad(snapshot) <= kMaxLoad);
}

// Guards against callers that close their connections to all other entries, as
// one that has just started answers that there is none but itself.
TEST_CASE("An entry that is starting names itself only among others") {
  SteeringSnapshot snapshot = MakeSnapshot(6);
  const std::vector<EntryStatus> members = std::exchange(snapshot.members, {});
  const auto count_named = [&] {
    return NearestEntries(snapshot, "east", "east-0", kMaxAddresses).size();
  };
  // Without contact with the control role, it serves the callers that come.
  CHECK(count_named() == 1);
  snapshot.self.starting = true;
  snapshot.self.isolated = true;
  CHECK(count_named() == 0);
  snapshot.members = members;
  CHECK(count_named() == 5);
  // If all start, some will serve callers first.
  for (EntryStatus& member : snapshot.members) {
    member.starting = true;
    member.isolated = true;
  }
  CHECK(count_named() == 6);
}

// Guards against callers that are sent to an entry which knows that it stops,
// until the member list says so as well.
TEST_CASE("An entry that stops names others at once") {
  SteeringSnapshot snapshot = MakeSnapshot(6);
  snapshot.self.draining = true;
  const auto named =
      NearestEntries(snapshot, snapshot.self.region,
                     snapshot.self.failure_domain, kMaxAddresses);
  CHECK(named.size() == 5);
  CHECK(std::none_of(named.begin(), named.end(), [&](const EntryStatus* entry) {
    return entry->id == snapshot.self.id;
  }));
}

// The callers' own failure domain costs the least.
TEST_CASE("Entries in the caller's failure domain and region come first") {
  SteeringSnapshot snapshot = MakeSnapshot(6);
  Isolate(snapshot, "west", 3);
  const auto named = NearestEntries(snapshot, "west", "west-1", kMaxAddresses);
  REQUIRE(named.size() > 3);
  CHECK(named[0]->failure_domain == "west-1");
  CHECK(named[1]->region == "west");
  CHECK(named[2]->region == "west");
  CHECK(named[3]->region != "west");
}

}  // namespace jacinth::steering
