#include "core/control/suspect_table.h"

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

std::vector<std::uint64_t> ChangedSince(const SuspectTable& table,
                                        std::uint32_t version) {
  std::vector<std::uint64_t> changed;
  for (const auto& [fingerprint, item] : table.items()) {
    if (item.changed > version)
      changed.push_back(fingerprint);
  }
  return changed;
}

}  // namespace

TEST_CASE("Changes of suspects are known by version") {
  SuspectTable table;
  table.Apply({{{1, {10, 11}, 5'000}, {2, {10, 11}, 3'000}}});
  const std::uint32_t first = table.version();
  table.Apply({{{2, {10, 11, 12}, 9'000}, {3, {10, 11}, 4'000}}});
  CHECK(ChangedSince(table, first) == std::vector<std::uint64_t>{2, 3});
  CHECK(table.RemovedSince(first).empty());
  const std::uint32_t second = table.version();
  table.Apply({{{1, {}, 0}}});
  table.Expire(4'000);
  CHECK(ChangedSince(table, second).empty());
  CHECK(table.RemovedSince(second) == std::vector<std::uint64_t>{1, 3});
  CHECK(table.KeepsChangesSince(first));
}

// Guards against an entry that drops a request that is suspect again.
TEST_CASE("A suspect that comes back isn't told as removed") {
  SuspectTable table;
  table.Apply({{{1, {10, 11}, 5'000}}});
  const std::uint32_t held = table.version();
  table.Apply({{{1, {}, 0}}});
  table.Apply({{{1, {12, 13}, 8'000}}});
  CHECK(ChangedSince(table, held) == std::vector<std::uint64_t>{1});
  CHECK(table.RemovedSince(held).empty());
}

TEST_CASE("Changes before a snapshot and before old removals aren't known") {
  SuspectTable table;
  table.Apply({{{1, {10, 11}, 5'000}}});
  const std::uint32_t held = table.version();
  SECTION("a snapshot") {
    table.Replace({{2, {10, 11}, 5'000}});
    CHECK(table.KeepsChangesSince(table.version()));
  }
  SECTION("more removals than are kept") {
    for (std::uint64_t i = 100; i < 1'300; ++i) {
      table.Apply({{{i, {10, 11}, 5'000}}});
      table.Apply({{{i, {}, 0}}});
    }
    CHECK(table.KeepsChangesSince(table.version() - 1'000));
  }
  CHECK_FALSE(table.KeepsChangesSince(held));
}

}  // namespace jacinth::control
