#include "jacinthroute/step_monitor.h"

#include <catch2/catch.hpp>

namespace jacinth {

TEST_CASE("Messages of entries that wait long are logged once per second") {
  const Time start(100s);
  StepMonitor monitor;
  CHECK_FALSE(monitor.OnBacklog(start, 9, start + 249ms));
  const auto record = monitor.OnBacklog(start, 9, start + 250ms);
  REQUIRE(record);
  CHECK(record->event == "entries_wait");
  CHECK_FALSE(monitor.OnBacklog(start, 9, start + 1249ms));
  CHECK(monitor.OnBacklog(start, 9, start + 1250ms));
}

}  // namespace jacinth
