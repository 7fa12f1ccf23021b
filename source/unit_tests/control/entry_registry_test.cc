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

}  // namespace jacinth::control
