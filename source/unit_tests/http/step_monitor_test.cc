#include "jacinthroute/step_monitor.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include <catch2/catch.hpp>

namespace jacinth {

TEST_CASE("Messages of entries that wait long are logged once per second") {
  const Time start(100s);
  StepMonitor monitor;
  CHECK_FALSE(monitor.OnBacklog(start, 9, start + 249ms));
  monitor.OnStep(control::MessageReceived{}, {}, start, start + 2ms,
                 start + 5ms);
  const auto record = monitor.OnBacklog(start, 9, start + 250ms);
  REQUIRE(record);
  CHECK(record->event == "entries_wait");
  std::map<std::string, std::int64_t> values;
  for (const log::Field& field : record->fields)
    values[std::string(field.name)] = std::get<std::int64_t>(field.value);
  CHECK(values == std::map<std::string, std::int64_t>{{"waited_ms", 250},
                                                      {"messages", 9},
                                                      {"handled", 1},
                                                      {"handled_ms", 5},
                                                      {"decided_ms", 2}});
  CHECK_FALSE(monitor.OnBacklog(start, 9, start + 1249ms));
  CHECK(monitor.OnBacklog(start, 9, start + 1250ms));
}

}  // namespace jacinth
