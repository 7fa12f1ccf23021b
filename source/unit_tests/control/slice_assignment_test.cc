#include "core/control/slice_assignment.h"

#include <catch2/catch.hpp>

#include "core/forwarding/slice_map.h"

namespace jacinth::control {
namespace {

using forwarding::SliceMap;
using protocol::SliceClaim;
using protocol::SliceClaimReason;

constexpr Time kNow{100s};

SliceClaim Claim(const std::string& endpoint,
                 SliceClaimReason reason = SliceClaimReason::kNoOwner) {
  return {{"s", 7, endpoint}, reason};
}

}  // namespace

TEST_CASE("The first claim of a slice sets its owner for all entries") {
  SliceAssignment assignment;
  assignment.Reset(1, {});
  SliceMap first_entry;
  SliceMap second_entry;
  first_entry.RecordSend("s", 7, "a", false);
  second_entry.RecordSend("s", 7, "b", false);
  for (const SliceClaim& claim : first_entry.TakeClaims())
    assignment.Claim("e1", claim, kNow);
  for (const SliceClaim& claim : second_entry.TakeClaims())
    assignment.Claim("e2", claim, kNow);
  first_entry.ApplyUpdate(assignment.UpdateFor(first_entry.version()));
  second_entry.ApplyUpdate(assignment.UpdateFor(second_entry.version()));
  CHECK(first_entry.OwnerOf("s", 7) == "a");
  CHECK(second_entry.OwnerOf("s", 7) == "a");
}

TEST_CASE("An owner is displaced only after claims of several entries") {
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}});
  SliceMap map;
  const auto owner = [&] {
    map.ApplyUpdate(assignment.UpdateFor(map.version()));
    return map.OwnerOf("s", 7);
  };
  assignment.Claim("e1", Claim("b", SliceClaimReason::kOwnerUnusable), kNow);
  assignment.Claim("e1", Claim("b", SliceClaimReason::kOwnerUnusable),
                   kNow + 1s);
  CHECK(owner() == "a");
  SECTION("second claim in time") {
    assignment.Claim("e2", Claim("c", SliceClaimReason::kOwnerUnusable),
                     kNow + 2s);
    CHECK(owner() == "c");
  }
  SECTION("second claim after the first has expired") {
    assignment.Claim("e2", Claim("c", SliceClaimReason::kOwnerUnusable),
                     kNow + 10s);
    CHECK(owner() == "a");
  }
}

TEST_CASE("Reports of overload do not move a slice twice within a short time") {
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}});
  SliceMap map;
  const auto owner_after = [&](const std::string& wanted, Time now) {
    for (const char* entry : {"e1", "e2"})
      assignment.Claim(entry, Claim(wanted, SliceClaimReason::kOwnerOverloaded),
                       now);
    map.ApplyUpdate(assignment.UpdateFor(map.version()));
    return map.OwnerOf("s", 7);
  };
  CHECK(owner_after("b", kNow) == "b");
  CHECK(owner_after("c", kNow + 3s) == "b");
  CHECK(owner_after("c", kNow + 20s) == "c");
}

TEST_CASE("A slice moves away from an owner whose requests have to wait") {
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}, {"s", 8, "a"}});
  const std::map<std::string, SliceEndpoint> endpoints = {
      {"a", {"s", "west", 2}}, {"b", {"s", "west", 2}}};
  const auto moves_after_second = [&](std::int64_t busy_ms, Time now) {
    assignment.AddUse({"s", 7, busy_ms});
    assignment.AddUse({"s", 8, 2 * busy_ms});
    return assignment.Rebalance(endpoints, 1s, now);
  };
  // At 300 ms and 600 ms per second, the owner has about one concurrent
  // request.
  CHECK(moves_after_second(300, kNow) == 0);
  CHECK(moves_after_second(300, kNow + 1s) == 0);
  CHECK(moves_after_second(1'200, kNow + 2s) +
            moves_after_second(1'200, kNow + 3s) ==
        1);
  SliceMap map;
  map.ApplyUpdate(assignment.UpdateFor(0));
  CHECK(map.OwnerOf("s", 7) == "b");
  CHECK(map.OwnerOf("s", 8) == "a");
}

TEST_CASE("Rebalancing does not move a slice twice within a short time") {
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}, {"s", 8, "a"}});
  std::map<std::string, SliceEndpoint> endpoints = {{"a", {"s", "west", 2}},
                                                    {"b", {"s", "west", 2}},
                                                    {"c", {"s", "west", 2}}};
  const auto moves_in = [&](Time from, int seconds) {
    std::size_t moves = 0;
    for (int i = 0; i < seconds; ++i) {
      assignment.AddUse({"s", 7, 1'300});
      assignment.AddUse({"s", 8, 1'300});
      assignment.AddUse({"s", 9, 1'300});
      moves += assignment.Rebalance(endpoints, 1s, from + i * 1s);
    }
    return moves;
  };
  // Only "b" may gain slices, and it gets one of the two.
  endpoints.at("c").accepts_slices = false;
  REQUIRE(moves_in(kNow, 5) == 1);
  // Together with a further slice, the moved one overloads "b".
  assignment.Claim("e1", {{"s", 9, "b"}, SliceClaimReason::kNoOwner},
                   kNow + 5s);
  endpoints.at("a").accepts_slices = false;
  endpoints.at("c").accepts_slices = true;
  const auto owners = [&] {
    SliceMap map;
    map.ApplyUpdate(assignment.UpdateFor(0));
    return std::pair(map.OwnerOf("s", 7), map.OwnerOf("s", 8));
  };
  const auto before = owners();
  // The further slice may leave "b"; the moved one may not.
  CHECK(moves_in(kNow + 5s, 4) == 1);
  CHECK(owners() == before);
}

TEST_CASE("An entry reports the use of a slice at its owner only once") {
  SliceMap map;
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}});
  map.ApplyUpdate(assignment.UpdateFor(0));
  map.RecordUse("s", 7, "a", 300ms);
  map.RecordUse("s", 7, "a", 200ms);
  map.RecordUse("s", 7, "b", 900ms);
  CHECK(map.TakeUses() == std::vector<protocol::SliceUse>{{"s", 7, 500}});
  CHECK(map.TakeUses().empty());
}

TEST_CASE("Slices of a removed endpoint can be claimed again") {
  SliceAssignment assignment;
  assignment.Reset(1, {{"s", 7, "a"}});
  SliceMap map;
  map.ApplyUpdate(assignment.UpdateFor(0));
  assignment.RetainOwners({{"b", {}}});
  map.ApplyUpdate(assignment.UpdateFor(map.version()));
  CHECK(map.OwnerOf("s", 7).empty());
  assignment.Claim("e1", Claim("b"), kNow);
  map.ApplyUpdate(assignment.UpdateFor(map.version()));
  CHECK(map.OwnerOf("s", 7) == "b");
}

TEST_CASE("A new leader starts with the recorded owners") {
  SliceAssignment old_leader;
  old_leader.Reset(1, {});
  old_leader.Claim("e1", Claim("a"), kNow);
  SliceAssignment new_leader;
  new_leader.Reset(2, old_leader.TakeUnrecordedOwners());
  CHECK(old_leader.TakeUnrecordedOwners().empty());
  SliceMap map;
  map.ApplyUpdate(old_leader.UpdateFor(0));
  map.ApplyUpdate(new_leader.UpdateFor(map.version()));
  CHECK(map.OwnerOf("s", 7) == "a");
}

TEST_CASE("Entries keep their owners when a new leader has none") {
  SliceMap map;
  SliceAssignment old_leader;
  old_leader.Reset(1, {{"s", 7, "a"}});
  map.ApplyUpdate(old_leader.UpdateFor(0));
  SliceAssignment new_leader;
  new_leader.Reset(2, {});
  map.ApplyUpdate(new_leader.UpdateFor(map.version()));
  CHECK(map.OwnerOf("s", 7) == "a");
  // The next use of the slice claims the owner from the new leader.
  map.RecordSend("s", 7, "a", true);
  const auto claims = map.TakeClaims();
  REQUIRE(claims.size() == 1);
  new_leader.Claim("e1", claims[0], kNow);
  CHECK(new_leader.UpdateFor(0).changed ==
        std::vector<protocol::SliceOwner>{{"s", 7, "a"}});
}

}  // namespace jacinth::control
