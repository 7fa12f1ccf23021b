#include "core/control/entry_registry.h"

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

constexpr Duration kTimeout = 2s;
constexpr Time kStart{100s};

protocol::EntryStatus Entry(const std::string& id) {
  protocol::EntryStatus status;
  status.id = id;
  return status;
}

}  // namespace

TEST_CASE("A new leader has no member list until an entry timeout has passed") {
  EntryRegistry registry(kTimeout);
  registry.Reset(1, kStart);
  registry.OnHeartbeat(Entry("e1"), kStart);
  CHECK(registry.Members(kStart + 1s).version == 0);
  CHECK(registry.Members(kStart + 2s).entries.size() == 1);
}

TEST_CASE("The expiry of an entry without heartbeats raises the list version") {
  EntryRegistry registry(kTimeout);
  registry.Reset(1, kStart);
  registry.OnHeartbeat(Entry("e1"), kStart + 1s);
  registry.OnHeartbeat(Entry("e2"), kStart + 2s);
  const auto before = registry.Members(kStart + 2s);
  CHECK(before.entries.size() == 2);
  registry.Expire(kStart + 3500ms);
  const auto after = registry.Members(kStart + 3500ms);
  CHECK(after.entries.size() == 1);
  CHECK(after.version > before.version);
}

TEST_CASE("A new revision in force does not change the list") {
  EntryRegistry registry(kTimeout);
  registry.Reset(1, kStart);
  registry.OnHeartbeat(Entry("e1"), kStart);
  const auto before = registry.Members(kStart + 2s);
  protocol::EntryStatus status = Entry("e1");
  status.revision = 7;
  registry.OnHeartbeat(status, kStart + 2s);
  CHECK(registry.Members(kStart + 2s).version == before.version);
  status.draining = true;
  registry.OnHeartbeat(status, kStart + 2s);
  CHECK(registry.Members(kStart + 2s).version > before.version);
}

TEST_CASE("The list of a later leader has a higher version") {
  EntryRegistry registry(kTimeout);
  registry.Reset(3, kStart);
  const auto before = registry.Members(kStart + 2s).version;
  registry.Reset(4, kStart);
  CHECK(registry.Members(kStart + 2s).version > before);
}

// Guards against entries that failed and are taken for planned work by those
// that start after them.
TEST_CASE("An entry that starts after it failed is listed as lost") {
  EntryRegistry registry(kTimeout);
  registry.Reset(1, kStart);
  protocol::EntryStatus status = Entry("e1");
  status.incarnation = 1;
  Time now = kStart + kTimeout;
  registry.OnHeartbeat(status, now);
  const bool announced = GENERATE(false, true);
  const bool removed = GENERATE(false, true);
  CAPTURE(announced, removed);
  if (announced) {
    status.draining = true;
    registry.OnHeartbeat(status, now);
  }
  if (removed) {
    now += 3s;
    registry.Expire(now);
    REQUIRE(registry.size() == 0);
  }
  status.incarnation = 2;
  status.draining = false;
  status.starting = true;
  registry.OnHeartbeat(status, now);
  CHECK(registry.Statuses().front().lost == !announced);
  // It fails once more before it has served anybody.
  status.incarnation = 3;
  registry.OnHeartbeat(status, now);
  registry.OnHeartbeat(status, now);
  CHECK(registry.Statuses().front().lost == !announced);
  status.starting = false;
  registry.OnHeartbeat(status, now);
  CHECK_FALSE(registry.Statuses().front().lost);
}

// Guards against a list of lost entries that grows.
TEST_CASE("An entry that was lost long ago is not listed as lost") {
  EntryRegistry registry(kTimeout);
  registry.Reset(1, kStart);
  registry.OnHeartbeat(Entry("e1"), kStart);
  registry.Expire(kStart + 3s);
  registry.Expire(kStart + 63s);
  protocol::EntryStatus status = Entry("e1");
  status.starting = true;
  registry.OnHeartbeat(status, kStart + 64s);
  CHECK_FALSE(registry.Statuses().front().lost);
}

}  // namespace jacinth::control
