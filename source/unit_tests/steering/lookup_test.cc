#include "core/steering/lookup.h"

#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "core/settings/tree_validation.h"
#include "core/steering/nearest_entries.h"

namespace jacinth::steering {
namespace {

constexpr Time kNow{100s};

protocol::EntryStatus MakeEntry(const std::string& id,
                                const std::string& region) {
  protocol::EntryStatus status;
  status.id = id;
  status.region = region;
  status.address = id;
  return status;
}

SteeringSnapshot MakeSnapshot(const std::string& tree) {
  const settings::ParsedTree parsed = settings::ParseTree(tree);
  INFO(settings::FormatFaults("", parsed.faults));
  REQUIRE(parsed.faults.empty());
  SteeringSnapshot snapshot;
  snapshot.fleet = settings::BuildFleetSettings(parsed.tree, 3);
  snapshot.clients = BuildClientMap(*snapshot.fleet);
  snapshot.members = {MakeEntry("w1", "west"), MakeEntry("w2", "west"),
                      MakeEntry("x1", "east")};
  snapshot.self = snapshot.members[0];
  snapshot.contact_until = kNow + 1s;
  return snapshot;
}

int WeightOf(const LookupAnswer& answer, const std::string& address) {
  for (const LookupEntry& entry : answer.entries) {
    if (entry.address == address)
      return entry.weight;
  }
  return -1;
}

}  // namespace

TEST_CASE("Entries in the caller's region are preferred") {
  const auto answer = AnswerLookup(MakeSnapshot("[service/s]\nttl_ms = 500\n"),
                                   "s", "", 0, kNow);
  REQUIRE(answer);
  CHECK(answer->revision == 3);
  CHECK(answer->ttl == 500ms);
  CHECK(WeightOf(*answer, "w1") == 100);
  CHECK(WeightOf(*answer, "x1") == 0);
}

TEST_CASE("A known client block overrides the region of the answering entry") {
  const SteeringSnapshot snapshot = MakeSnapshot(
      "[service/s]\nttl_ms = 500\n"
      "[region/east/clients/office]\nblocks = 10.0.0.0/8, 192.168.1.0/24\n");
  const auto near_east = AnswerLookup(snapshot, "s", "10.1.1.1", 0, kNow);
  CHECK(WeightOf(*near_east, "x1") == 100);
  CHECK(WeightOf(*near_east, "w1") == 0);
  const auto unknown = AnswerLookup(snapshot, "s", "11.1.1.1", 0, kNow);
  CHECK(WeightOf(*unknown, "w1") == 100);
  CHECK(AnswerLookup(snapshot, "s", "ten", 0, kNow).error().kind ==
        ErrorKind::kBadRequest);
}

TEST_CASE(
    "Entries that drain themselves or are drained by the operator are "
    "omitted") {
  SteeringSnapshot snapshot =
      MakeSnapshot("[service/s]\nttl_ms = 500\n[entry/w2]\ndrain = true\n");
  snapshot.members[0].draining = true;
  const auto answer = AnswerLookup(snapshot, "s", "", 0, kNow);
  REQUIRE(answer->entries.size() == 1);
  // The only usable entry gets all callers.
  CHECK(WeightOf(*answer, "x1") == 100);
}

TEST_CASE(
    "Weights per region override the preference for the caller's region") {
  const auto answer = AnswerLookup(
      MakeSnapshot("[service/s]\nttl_ms = 500\n"
                   "[service/s/region/east]\nweight = 30\n"
                   "[service/s/region/west]\nweight = 70\nttl_ms = 900\n"),
      "s", "", 0, kNow);
  CHECK(WeightOf(*answer, "w1") == 70);
  CHECK(WeightOf(*answer, "x1") == 30);
  CHECK(answer->ttl == 900ms);
}

TEST_CASE(
    "An answer contains part of a large fleet, each instance equally often") {
  SteeringSnapshot snapshot = MakeSnapshot("[service/s]\nttl_ms = 500\n");
  snapshot.members.clear();
  for (int i = 0; i < 100; ++i)
    snapshot.members.push_back(MakeEntry("w" + std::to_string(i), "west"));
  std::map<std::string, int> appearances;
  for (std::uint64_t offset = 0; offset < 100; ++offset) {
    const auto answer = AnswerLookup(snapshot, "s", "", offset, kNow);
    REQUIRE(answer->entries.size() == 8);
    for (const LookupEntry& entry : answer->entries)
      ++appearances[entry.address];
  }
  REQUIRE(appearances.size() == 100);
  for (const auto& [address, count] : appearances)
    CHECK(count == 8);
}

// Guards against sending callers to entries that reach no endpoint.
TEST_CASE("Isolated entries are named only if all entries are isolated") {
  SteeringSnapshot snapshot = MakeSnapshot("[service/s]\nttl_ms = 500\n");
  const auto addresses = [&] {
    std::set<std::string> found;
    const auto answer = AnswerLookup(snapshot, "s", "", 0, kNow);
    REQUIRE(answer);
    for (const LookupEntry& entry : answer->entries)
      found.insert(entry.address);
    return found;
  };
  snapshot.members[1].isolated = true;
  CHECK(addresses() == std::set<std::string>{"w1", "x1"});
  CHECK(NearestEntries(snapshot, "west", "", 8).size() == 2);
  // The member list still shows this instance as connected.
  snapshot.self.isolated = true;
  CHECK(addresses() == std::set<std::string>{"x1"});
  snapshot.members[2].isolated = true;
  CHECK(addresses() == std::set<std::string>{"w1", "w2", "x1"});
  CHECK(NearestEntries(snapshot, "west", "", 8).size() == 2);
}

// Guards against overloading what is left of a region while other regions have
// room.
TEST_CASE("Callers leave a region of which too many entries are isolated") {
  SteeringSnapshot snapshot = MakeSnapshot("[service/s]\nttl_ms = 500\n");
  snapshot.members.clear();
  for (int i = 0; i < 6; ++i)
    snapshot.members.push_back(MakeEntry("w" + std::to_string(i), "west"));
  snapshot.members.push_back(MakeEntry("x1", "east"));
  snapshot.members[2].isolated = true;
  snapshot.members[3].isolated = true;
  CHECK(NearestEntries(snapshot, "west", "", 8).size() == 4);
  snapshot.members[4].isolated = true;
  CHECK(NearestEntries(snapshot, "west", "", 8).size() == 4);
  CHECK(NearestEntries(snapshot, "west", "", 8).back()->id == "x1");
}

// Guards against a 404 for a service that was just added, from an instance that
// has lost the control role.
TEST_CASE("Only an instance in contact says that a service is unknown") {
  const SteeringSnapshot snapshot = MakeSnapshot("[service/s]\nttl_ms = 500\n");
  CHECK(AnswerLookup(snapshot, "new", "", 0, kNow).error().kind ==
        ErrorKind::kUnknownService);
  CHECK(AnswerLookup(snapshot, "new", "", 0, kNow + 1s).error().kind ==
        ErrorKind::kNotReady);
}

}  // namespace jacinth::steering
