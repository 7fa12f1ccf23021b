#include "core/forwarding/wait_gate.h"

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

}  // namespace

TEST_CASE("A wait lets no request through until its end, then a few") {
  WaitGate gate;
  CHECK_FALSE(gate.MaxRequests(4, kNow));
  CHECK(gate.OnAsked(1500ms, kNow));
  CHECK(gate.MaxRequests(4, kNow) == 0);
  CHECK(gate.MaxRequests(4, kNow + 1499ms) == 0);
  CHECK(gate.MaxRequests(4, kNow + 1500ms) == 1);
  CHECK(gate.MaxRequests(4, kNow + 2500ms) == 3);
  CHECK_FALSE(gate.MaxRequests(4, kNow + 10s));
}

// Guards against sending to an endpoint in its longer wait because a late
// refusal asked for a shorter one.
TEST_CASE("A shorter wait doesn't end a longer one") {
  WaitGate gate;
  CHECK(gate.OnAsked(3s, kNow));
  CHECK_FALSE(gate.OnAsked(1s, kNow + 100ms));
  CHECK_FALSE(gate.OnAsked(Duration{0}, kNow + 100ms));
  CHECK(gate.IsWaiting(kNow + 2900ms));
  CHECK(gate.OnAsked(3s, kNow + 2s));
  CHECK(gate.IsWaiting(kNow + 4900ms));
}

}  // namespace jacinth::forwarding
