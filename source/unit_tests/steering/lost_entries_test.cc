#include "core/steering/lost_entries.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;
using Regions = std::map<std::string, std::string>;

const Regions kNone;

std::vector<EntryStatus> MakeMembers() {
  std::vector<EntryStatus> members(2);
  members[0].id = "w1";
  members[1].id = "w2";
  for (EntryStatus& member : members)
    member.region = "west";
  return members;
}

}  // namespace

// Guards against entries that fail and are taken for stopped as planned.
TEST_CASE("An entry that vanishes without notice is lost until it is back") {
  LostEntries lost;
  std::vector<EntryStatus> members = MakeMembers();
  const EntryStatus w2 = members[1];
  lost.Update(members);
  CHECK(lost.regions() == kNone);
  members.pop_back();
  lost.Update(members);
  CHECK(lost.regions() == Regions{{"w2", "west"}});
  lost.Update(members);
  CHECK(lost.regions() == Regions{{"w2", "west"}});
  members.push_back(w2);
  members[1].starting = true;
  lost.Update(members);
  CHECK(lost.regions() == Regions{{"w2", "west"}});
  members[1].starting = false;
  lost.Update(members);
  CHECK(lost.regions() == kNone);
}

// Guards against the same if the entry is back before the list lacks it.
TEST_CASE("An entry that restarts without notice is lost until it serves") {
  LostEntries lost;
  std::vector<EntryStatus> members = MakeMembers();
  lost.Update(members);
  members[1].starting = true;
  lost.Update(members);
  CHECK(lost.regions() == Regions{{"w2", "west"}});
  members[1].starting = false;
  lost.Update(members);
  CHECK(lost.regions() == kNone);
}

// Guards against planned work that is taken for a failure.
TEST_CASE("An entry that has announced its stop is not lost") {
  LostEntries lost;
  std::vector<EntryStatus> members = MakeMembers();
  lost.Update(members);
  const EntryStatus w2 = members[1];
  members[1].draining = true;
  lost.Update(members);
  SECTION("and gone for a time") {
    members.pop_back();
    lost.Update(members);
    CHECK(lost.regions() == kNone);
    members.push_back(w2);
  }
  members[1].draining = false;
  members[1].starting = true;
  lost.Update(members);
  CHECK(lost.regions() == kNone);
  members[1].starting = false;
  lost.Update(members);
  CHECK(lost.regions() == kNone);
}

// Guards against entries that join and fail before they served anybody.
TEST_CASE("An entry that never served callers is not lost") {
  LostEntries lost;
  std::vector<EntryStatus> members = MakeMembers();
  members[1].starting = true;
  lost.Update(members);
  members.pop_back();
  lost.Update(members);
  CHECK(lost.regions() == kNone);
}

}  // namespace jacinth::steering
