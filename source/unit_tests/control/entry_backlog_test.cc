#include "core/control/entry_backlog.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
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
    REQUIRE(backlog.Add(MakeMessage(i), Time{}));
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
  backlog.Add(MakeMessage(1), Time{});
  backlog.Add(MakeMessage(2), Time{});
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

// Pattern: all machines start again. Guards against a leader that gets more
// heartbeats than it can handle, and so answers only ones that are too old for
// their senders, for as long as these send more.
TEST_CASE("An overloaded backlog answers heartbeats that are recent") {
  constexpr Duration kInterval = 100ms;
  constexpr Duration kControlTimeout = 2s;
  EntryBacklog backlog;
  Time now{1000s};
  const Time end = now + 20s;
  Time next_round = now;
  std::uint64_t round = 0;
  std::vector<Time> sent;
  std::map<std::string, Time> answered;
  Duration oldest{0};
  while (now < end) {
    for (; now >= next_round; next_round += kInterval, ++round) {
      sent.push_back(next_round);
      for (int i = 0; i < kEntries; ++i) {
        MessageReceived message = MakeMessage(i);
        std::get<protocol::Heartbeat>(message.envelope).sequence = round;
        const bool added = backlog.Add(std::move(message), now);
        REQUIRE(added);
      }
    }
    backlog.ServeSlice(
        [&](const MessageReceived& message) {
          now += kStepTime;
          const auto& heartbeat =
              std::get<protocol::Heartbeat>(message.envelope);
          oldest = std::max(oldest, now - sent[heartbeat.sequence]);
          answered[message.from] = now;
        },
        [&] { return now; });
  }
  CHECK(oldest < kControlTimeout / 2);
  REQUIRE(answered.size() == kEntries);
  for (const auto& [entry, time] : answered)
    CHECK(time > end - kControlTimeout / 2);
}

TEST_CASE("Heartbeats that wait are joined with all that they report") {
  EntryBacklog backlog;
  MessageReceived first = MakeMessage(1);
  auto& earlier = std::get<protocol::Heartbeat>(first.envelope);
  earlier.sequence = 1;
  earlier.claims.emplace_back().owner.endpoint = "a";
  earlier.uses.emplace_back().busy_ms = 1;
  earlier.drains.emplace_back().endpoint = "a";
  earlier.rate_limits.emplace_back().demand_per_s = 1;
  earlier.crashes.emplace_back().fingerprint = 1;
  earlier.acquitted.push_back(1);
  MessageReceived second = first;
  auto& later = std::get<protocol::Heartbeat>(second.envelope);
  later.sequence = 2;
  later.claims[0].owner.endpoint = "b";
  backlog.Add(first, Time{1s});
  backlog.Add(MakeMessage(2), Time{});
  backlog.Add(second, Time{2s});
  CHECK(backlog.oldest() == Time{1s});
  CHECK(backlog.size() == 2);
  std::vector<protocol::Heartbeat> handled;
  backlog.ServeSlice(
      [&](const MessageReceived& message) {
        handled.push_back(std::get<protocol::Heartbeat>(message.envelope));
      },
      [] { return Time{}; });
  REQUIRE(handled.size() == 2);
  CHECK(handled[0].sequence == 2);
  REQUIRE(handled[0].claims.size() == 2);
  CHECK(handled[0].claims[0].owner.endpoint == "a");
  CHECK(handled[0].claims[1].owner.endpoint == "b");
  CHECK(handled[0].uses.size() == 2);
  CHECK(handled[0].drains.size() == 2);
  CHECK(handled[0].rate_limits.size() == 2);
  CHECK(handled[0].crashes.size() == 2);
  CHECK(handled[0].acquitted.size() == 2);
}

TEST_CASE("A full backlog takes no message of a further entry") {
  EntryBacklog backlog;
  for (std::size_t i = 0; i < EntryBacklog::kMaxMessages; ++i)
    REQUIRE(backlog.Add(MakeMessage(static_cast<int>(i)), Time{}));
  CHECK(!backlog.Add(MakeMessage(-1), Time{}));
  CHECK(backlog.Add(MakeMessage(0), Time{}));
}

}  // namespace jacinth::control
