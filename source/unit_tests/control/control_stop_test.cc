#include <catch2/catch.hpp>

#include "core/control/control_node.h"

namespace jacinth::control {

// Guards against a replica that ignores a planned stop while its disk has
// failed, until the platform kills it.
TEST_CASE("A replica whose disk has failed stops when it is asked to") {
  ControlOptions options;
  options.replica.id = "c1#1";
  options.replica.election_timeout = 500ms;
  options.replica.heartbeat = 100ms;
  options.contacts = {"c1"};
  ClockReading clock{Time{100s}, 1'000};
  ControlNode node = *ControlNode::Create(options, {}, clock);
  node.Step(StorageFailed{}, clock);
  CHECK_FALSE(node.Step(Tick{}, clock).stopped);
  node.Step(StopRequested{}, clock);
  CHECK(node.Step(Tick{}, clock).stopped);
}

}  // namespace jacinth::control
