#include "core/steering/absent_entries.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;
using Regions = std::map<std::string, std::string>;

const Regions kNone;
constexpr Time kNow{100s};

std::vector<EntryStatus> MakeMembers() {
  std::vector<EntryStatus> members(2);
  members[0].id = "w1";
  members[1].id = "w2";
  for (EntryStatus& member : members)
    member.region = "west";
  return members;
}

Regions LostRegions(const AbsentEntries& absent) {
  Regions regions;
  for (const auto& [id, entry] : absent.entries()) {
    if (entry.absence == Absence::kLost)
      regions[id] = entry.region;
  }
  return regions;
}

}  // namespace

// Guards against entries that fail and are taken for stopped as planned.
TEST_CASE("An entry that vanishes without notice is lost until it is back") {
  AbsentEntries absent;
  std::vector<EntryStatus> members = MakeMembers();
  const EntryStatus w2 = members[1];
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
  members.pop_back();
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == Regions{{"w2", "west"}});
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == Regions{{"w2", "west"}});
  members.push_back(w2);
  members[1].starting = true;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == Regions{{"w2", "west"}});
  members[1].starting = false;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
}

// Guards against the same if the entry is back before the list lacks it.
TEST_CASE("An entry that restarts without notice is lost until it serves") {
  AbsentEntries absent;
  std::vector<EntryStatus> members = MakeMembers();
  absent.Update(members, kNow);
  members[1].starting = true;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == Regions{{"w2", "west"}});
  members[1].starting = false;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
}

// Guards against planned work that is taken for a failure.
TEST_CASE("An entry that has announced its stop is not lost") {
  AbsentEntries absent;
  std::vector<EntryStatus> members = MakeMembers();
  absent.Update(members, kNow);
  const EntryStatus w2 = members[1];
  members[1].draining = true;
  absent.Update(members, kNow);
  SECTION("and gone for a time") {
    members.pop_back();
    absent.Update(members, kNow);
    CHECK(LostRegions(absent) == kNone);
    members.push_back(w2);
  }
  members[1].draining = false;
  members[1].starting = true;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
  members[1].starting = false;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
}

// Guards against entries that join and fail before they served anybody.
TEST_CASE("An entry that never served callers is not lost") {
  AbsentEntries absent;
  std::vector<EntryStatus> members = MakeMembers();
  members[1].starting = true;
  absent.Update(members, kNow);
  members.pop_back();
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
}

// Guards against entries that are missed for ever: the list grows, and callers
// leave their region for entries that won't come back.
TEST_CASE("An entry that doesn't come back is forgotten") {
  AbsentEntries absent;
  std::vector<EntryStatus> members = MakeMembers();
  absent.Update(members, kNow);
  SECTION("after a failure") {
    members.pop_back();
    absent.Update(members, kNow);
    CHECK_FALSE(absent.Expire(kNow + 6s));
    CHECK(LostRegions(absent) == Regions{{"w2", "west"}});
    CHECK(absent.Expire(kNow + 7s));
    CHECK(LostRegions(absent) == kNone);
    // Later lists that lack it as well don't renew the loss.
    absent.Update(members, kNow + 8s);
    CHECK(LostRegions(absent) == kNone);
  }
  SECTION("after a planned stop") {
    members[1].draining = true;
    absent.Update(members, kNow);
    CHECK(absent.entries().empty());
    members.pop_back();
    absent.Update(members, kNow);
    CHECK(absent.entries().at("w2").absence == Absence::kGone);
  }
  CHECK(absent.entries().size() == 1);
  CHECK(absent.Expire(kNow + 68s));
  CHECK(absent.entries().empty());
  CHECK_FALSE(absent.Expire(kNow + 69s));
}

// Guards against a restart of everything that is taken for planned work, as
// nobody remembers what was before.
TEST_CASE("Entries that start together with most of the fleet are lost") {
  const int serving = GENERATE(0, 1, 2);
  AbsentEntries absent;
  std::vector<EntryStatus> members(4);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].id = "w" + std::to_string(i);
    members[i].region = "west";
    members[i].starting = i >= static_cast<std::size_t>(serving);
  }
  absent.Update(members, kNow);
  CAPTURE(serving);
  const int starting = 4 - serving;
  CHECK(LostRegions(absent).size() ==
        static_cast<std::size_t>(starting >= 3 ? starting : 0));
  for (EntryStatus& member : members)
    member.starting = false;
  absent.Update(members, kNow);
  CHECK(LostRegions(absent) == kNone);
}

}  // namespace jacinth::steering
