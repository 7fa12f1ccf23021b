#include "core/forwarding/warmup_gate.h"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

}  // namespace

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
      if (WarmupGate(SenderHistory(SenderSelection(entry, entries)), max_rate)
              .CanSendTo(endpoint, kNow))
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
      if (WarmupGate(SenderHistory(selection), kMaxRate)
              .CanSendTo("p" + std::to_string(endpoint), kNow))
        ++senders;
    }
    CHECK(senders <= kMaxRate);
    senders_to_any += senders;
  }
  CHECK(senders_to_any > 0);
}

// Guards against an entry that takes the place of another, which has just sent
// a request or hasn't heard of it yet.
TEST_CASE("An entry that takes another's place waits for it") {
  constexpr std::size_t kMaxSenders = 1;
  const std::string endpoint = "p";
  const bool is_e1_first =
      SenderSelection("e1", {"e1", "e2"}).IsSelected(endpoint, kMaxSenders);
  const std::string first = is_e1_first ? "e1" : "e2";
  const std::string second = is_e1_first ? "e2" : "e1";
  SenderHistory history(SenderSelection(second, {first, second}));
  CHECK_FALSE(history.IsSelected(endpoint, kMaxSenders, kNow));
  history.Set(SenderSelection(second, {second}), kNow);
  CHECK_FALSE(history.IsSelected(endpoint, kMaxSenders, kNow));
  const Time end = kNow + SenderHistory::kHandoverTime;
  CHECK_FALSE(history.IsSelected(endpoint, kMaxSenders, end - 1ms));
  CHECK(history.IsSelected(endpoint, kMaxSenders, end));
  // The same selection again replaces none.
  history.Set(SenderSelection(second, {second}), end);
  CHECK(history.IsSelected(endpoint, kMaxSenders, end));
}

}  // namespace jacinth::forwarding
