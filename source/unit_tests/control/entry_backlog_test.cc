#include "core/control/entry_backlog.h"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

/// Time that the leader of the users' large deployment takes for a heartbeat.
constexpr Duration kStepTime = 1500us;
constexpr int kEntries = 185;

MessageReceived MakeMessage(int entry) {
  protocol::Heartbeat heartbeat;
  heartbeat.status.id = std::to_string(entry);
  return {heartbeat.status.id, heartbeat};
}

}  // namespace

// Pattern: the heartbeats of all entries arrive at once. Guards against a
// leader that handles all of them before its own heartbeats are sent.
TEST_CASE("A backlog of entries' messages leaves time in between") {
  EntryBacklog backlog;
  for (int i = 0; i < kEntries; ++i)
    REQUIRE(backlog.Add(MakeMessage(i)));
  Time now{1000s};
  std::vector<std::string> handled;
  Duration longest{0};
  while (!backlog.empty()) {
    const Time begin = now;
    backlog.ServeSlice(
        [&](const MessageReceived& message) {
          now += kStepTime;
          handled.push_back(message.from);
        },
        [&] { return now; });
    longest = std::max(longest, now - begin);
  }
  // The heartbeats of a replica are 120 ms apart.
  CHECK(longest <= 12ms);
  REQUIRE(handled.size() == kEntries);
  for (int i = 0; i < kEntries; ++i)
    CHECK(handled[static_cast<std::size_t>(i)] == std::to_string(i));
}

TEST_CASE("A slow message ends the slice after itself") {
  EntryBacklog backlog;
  backlog.Add(MakeMessage(1));
  backlog.Add(MakeMessage(2));
  Time now{1000s};
  int handled = 0;
  backlog.ServeSlice(
      [&](const MessageReceived&) {
        now += 1s;
        ++handled;
      },
      [&] { return now; });
  CHECK(handled == 1);
  CHECK(!backlog.empty());
}

TEST_CASE("A full backlog takes no further message") {
  EntryBacklog backlog;
  for (std::size_t i = 0; i < EntryBacklog::kMaxMessages; ++i)
    REQUIRE(backlog.Add(MakeMessage(0)));
  CHECK(!backlog.Add(MakeMessage(1)));
}

}  // namespace jacinth::control
