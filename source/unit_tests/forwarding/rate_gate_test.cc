#include "core/forwarding/rate_gate.h"

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

int SendAsAllowed(RateGate& gate, Time from, Duration duration) {
  int sent = 0;
  for (Time now = from; now < from + duration; now += 1ms) {
    if (!gate.Allows(now))
      continue;
    gate.OnSent(now);
    ++sent;
  }
  return sent;
}

}  // namespace

TEST_CASE("A rate gate allows its rate and one request more at a time") {
  RateGate gate;
  CHECK(gate.Allows(kNow));
  gate.SetRate(5, kNow);
  CHECK_FALSE(gate.Allows(kNow));
  CHECK(SendAsAllowed(gate, kNow, 10s) <= 50);
  const int after_pause = SendAsAllowed(gate, kNow + 100s, 4s);
  CHECK(after_pause >= 20);
  CHECK(after_pause <= 20 + 4);
}

TEST_CASE("A rate gate tells when the next request may be sent") {
  RateGate gate;
  gate.SetRate(2, kNow);
  const Time next = gate.NextAllowed(kNow);
  CHECK(next > kNow + 490ms);
  CHECK(gate.Allows(next));
  CHECK_FALSE(gate.Allows(next - 2ms));
  gate.SetRate(0, kNow);
  CHECK(gate.NextAllowed(kNow) == Time::max());
  gate.SetRate(std::nullopt, kNow);
  CHECK(gate.NextAllowed(kNow) == kNow);
}

TEST_CASE("A changed rate keeps what was sent before in mind") {
  RateGate gate;
  gate.SetRate(1, kNow);
  Time now = kNow;
  int sent = 0;
  for (int i = 0; i < 1'000; ++i) {
    now += 4ms;
    gate.SetRate(i % 2 == 0 ? 1 : 1.01, now);
    if (gate.Allows(now)) {
      gate.OnSent(now);
      ++sent;
    }
  }
  CHECK(sent <= 5);
}

}  // namespace jacinth::forwarding
