#include "core/forwarding/warmup_gate.h"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::forwarding {

TEST_CASE(
    "Property: all entries together respect a cold endpoint's rate limit") {
  CHECK(rc::check([] {
    const int entry_count = *rc::gen::inRange(1, 100);
    const double max_rate = *rc::gen::inRange(2, 20);
    std::vector<std::string> entries;
    entries.reserve(static_cast<std::size_t>(entry_count));
    for (int i = 0; i < entry_count; ++i)
      entries.push_back("e" + std::to_string(i));
    const auto endpoint = "p" + std::to_string(*rc::gen::inRange(0, 1'000));
    int senders = 0;
    for (const std::string& entry : entries) {
      if (WarmupGate(SenderSelection(entry, entries), max_rate)
              .CanSendTo(endpoint))
        ++senders;
    }
    // Each sender sends one request per interval, which is longer than a
    // second, so no second contains more requests than there are senders.
    RC_ASSERT(WarmupGate::interval() > 1s);
    RC_ASSERT(senders >= 1);
    RC_ASSERT(senders <= max_rate);
  }));
}

// Guards against entries that take themselves for the only ones until they know
// the others.
TEST_CASE("Entries that don't know each other respect the limit as well") {
  constexpr int kEntryCount = 185;
  constexpr double kMaxRate = 14;
  int senders_to_any = 0;
  for (int endpoint = 0; endpoint < 500; ++endpoint) {
    int senders = 0;
    for (int i = 0; i < kEntryCount; ++i) {
      const auto selection = SenderSelection::OfUnknownFleet(
          "e" + std::to_string(i), /*max_entries=*/1'024);
      if (WarmupGate(selection, kMaxRate)
              .CanSendTo("p" + std::to_string(endpoint)))
        ++senders;
    }
    CHECK(senders <= kMaxRate);
    senders_to_any += senders;
  }
  CHECK(senders_to_any > 0);
}

}  // namespace jacinth::forwarding
