#include "jacinthroute/sync_monitor.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include <catch2/catch.hpp>

namespace jacinth {
namespace {

constexpr Time kStart{100s};

using Values = std::map<std::string, std::int64_t>;

Values ValuesOf(const log::Record& record) {
  Values values;
  for (const log::Field& field : record.fields)
    values[std::string(field.name)] = std::get<std::int64_t>(field.value);
  return values;
}

}  // namespace

TEST_CASE("A slow sync is logged at its end") {
  SyncMonitor monitor;
  monitor.OnWrite(1, kStart);
  CHECK_FALSE(monitor.OnSynced(1, kStart + 249ms));
  monitor.OnWrite(2, kStart + 300ms);
  monitor.OnWrite(3, kStart + 400ms);
  monitor.OnWrite(4, kStart + 500ms);
  const auto first = monitor.OnSynced(2, kStart + 600ms);
  REQUIRE(first);
  CHECK(first->event == "sync_was_slow");
  CHECK(ValuesOf(*first) ==
        Values{{"took_ms", 300}, {"waited_ms", 300}, {"writes", 3}});
  // The next sync began when the first one ended.
  const auto second = monitor.OnSynced(4, kStart + 900ms);
  REQUIRE(second);
  CHECK(ValuesOf(*second) ==
        Values{{"took_ms", 300}, {"waited_ms", 500}, {"writes", 2}});
}

// Guards against logs that don't tell a disk that stands still until the end
// from a leader that commits nothing for another cause.
TEST_CASE("A sync that has no end is logged once per second") {
  SyncMonitor monitor;
  CHECK_FALSE(monitor.OnTick(kStart));
  monitor.OnWrite(1, kStart);
  CHECK_FALSE(monitor.OnTick(kStart + 999ms));
  const auto record = monitor.OnTick(kStart + 1s);
  REQUIRE(record);
  CHECK(record->event == "sync_runs");
  CHECK(ValuesOf(*record) ==
        Values{{"took_ms", 1'000}, {"waited_ms", 1'000}, {"writes", 1}});
  CHECK_FALSE(monitor.OnTick(kStart + 1'999ms));
  CHECK(monitor.OnTick(kStart + 2s));
  CHECK(monitor.OnSynced(1, kStart + 2'500ms));
  CHECK_FALSE(monitor.OnTick(kStart + 4s));
}

}  // namespace jacinth
