#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"
#include "core/protocol/change_scope.h"
#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::NarrowEntry;
using test::NarrowFleet;

/// `config_propagation_ms` of the users' deployment of 185 entries.
constexpr Duration kPropagation = 3s;
constexpr const char* kHost = "h.example";

protocol::BranchChange RouteChange(int index, const std::string& service) {
  const auto number = static_cast<std::uint64_t>(index);
  return {"route/r-" + std::to_string(index),
          {{"host", kHost},
           {"path_prefix", "/" + std::to_string(Hash64("path", number)) + "/"},
           {"execution", "repeatable"},
           {"service", service}}};
}

/// A fleet with the routes 0 and 1, whose links delay messages.
struct SlowFleet {
  explicit SlowFleet(Duration link_delay) {
    fleet.Change({{"service/s", {{"probe_interval_ms", "0"}}},
                  {"service/t", {{"probe_interval_ms", "0"}}},
                  RouteChange(0, "s"),
                  RouteChange(1, "s")});
    fleet.Run(2s);
    for (NarrowEntry& entry : fleet.entries())
      entry.link_delay = link_delay;
    fleet.Run(5s);
  }

  /// Sends the requests of route 0 elsewhere and adds routes, from 2 on.
  void Change(int added) {
    std::vector<protocol::BranchChange> changes = {RouteChange(0, "t")};
    for (int i = 2; i < 2 + added; ++i)
      changes.push_back(RouteChange(i, "s"));
    fleet.Change(changes);
  }

  NarrowFleet fleet{8, kPropagation};
};

// Returns the time after which a large change is in force at all entries, while
// small ones follow at an interval, if that isn't zero.
Duration TimeOfLargeChange(Duration link_delay, Duration interval) {
  SlowFleet test(link_delay);
  test.Change(6'000);
  const std::uint64_t large = test.fleet.revision();
  const auto holds_large = [&](const NarrowEntry& entry) {
    return entry.session().self().revision >= large;
  };
  Duration passed{0};
  Duration next = interval;
  while (!std::all_of(test.fleet.entries().begin(), test.fleet.entries().end(),
                      holds_large)) {
    test.fleet.Run(NarrowFleet::kStep);
    passed += NarrowFleet::kStep;
    if (interval == Duration{0} || passed < next)
      continue;
    next += interval;
    test.fleet.Change({RouteChange(1, passed / interval % 2 == 0 ? "s" : "t")});
  }
  return passed;
}

// Returns true if the entry waits for newer settings before it decides requests
// of the route.
bool WaitsForSettings(NarrowEntry& entry, int route) {
  EntryDriver& driver = *entry.driver;
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = kHost;
  arrival.method = "GET";
  arrival.path = RouteChange(route, "s").values.at("path_prefix") + "x";
  driver.Step(arrival);
  const RefuseRequest* refusal = driver.FindRefusal(arrival.ticket);
  return refusal != nullptr && refusal->error.kind == ErrorKind::kNotReady;
}

}  // namespace

// Guards against a fleet that refuses all requests at once, because a large
// change comes to all entries later than its bound.
TEST_CASE("A late change stops no request that it doesn't concern") {
  const Duration link_delay = GENERATE(400ms, 800ms);
  const int added = GENERATE(1'400, 6'000);
  CAPTURE(link_delay.count(), added);
  SlowFleet test(link_delay);
  test.Change(added);
  int refused = 0;
  int refused_at_once = 0;
  int sent_by_old_settings = 0;
  int waited = 0;
  constexpr Duration kCheckInterval = 100ms;
  for (Duration passed{0}; passed < 6s; passed += kCheckInterval) {
    test.fleet.Run(kCheckInterval);
    const int before = refused;
    for (NarrowEntry& entry : test.fleet.entries()) {
      refused += WaitsForSettings(entry, 1) ? 1 : 0;
      if (passed < kPropagation ||
          entry.session().self().revision == test.fleet.revision())
        continue;
      for (const int concerned : {0, 2, added})
        ++(WaitsForSettings(entry, concerned) ? waited : sent_by_old_settings);
    }
    refused_at_once = std::max(refused_at_once, refused - before);
  }
  CAPTURE(refused_at_once);
  CHECK(refused == 0);
  CHECK(sent_by_old_settings == 0);
  const bool is_late = link_delay == 800ms && added == 6'000;
  CHECK((waited > 0 || !is_late));
  for (NarrowEntry& entry : test.fleet.entries())
    CHECK(entry.session().self().revision == test.fleet.revision());
}

// Guards against requests that are sent by replaced settings because only the
// scope of an earlier change is known, which doesn't include them.
TEST_CASE("A change behind a late one stops the requests that it concerns") {
  NarrowEntry entry(0, kPropagation);
  EntryDriver& driver = *entry.driver;
  settings::Tree tree;
  tree.Replace("service/s", {{"probe_interval_ms", "0"}});
  for (const int route : {0, 1})
    tree.Replace(RouteChange(route, "s").branch,
                 RouteChange(route, "s").values);
  driver.ApplySettings(tree.ToIni());
  // The first piece of a change of route 0 arrives, and then no other one.
  protocol::HeartbeatReply reply;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.revision = driver.revision + 1;
  reply.settings_piece.position = {driver.revision, driver.revision + 1, 1, 0};
  reply.settings_piece.total_bytes = 100;
  reply.settings_piece.bytes = "x";
  reply.settings_piece.scope =
      protocol::ChangeScope({RouteChange(0, "t")}).ToBytes();
  driver.Step(MessageReceived{"c1", reply});
  reply.settings_piece = {};
  const auto run = [&](Duration duration) {
    const Time end = driver.now + duration;
    while (driver.now < end) {
      driver.AdvanceTime(20ms);
      reply.sequence = driver.last_heartbeat.sequence;
      driver.Step(MessageReceived{"c1", reply});
    }
  };
  run(kPropagation);
  CHECK(WaitsForSettings(entry, 0));
  CHECK_FALSE(WaitsForSettings(entry, 1));
  // Another change, of which nothing arrives.
  ++reply.revision;
  run(kPropagation - 200ms);
  CHECK_FALSE(WaitsForSettings(entry, 1));
  run(1s);
  CHECK(WaitsForSettings(entry, 1));
}

// Guards against a large change that begins anew at entries whose links delay
// messages, because the leader sends it again together with later changes.
TEST_CASE("Small changes delay no large one before them") {
  const Duration link_delay = GENERATE(400ms, 800ms);
  const Duration alone = TimeOfLargeChange(link_delay, Duration{0});
  const Duration followed = TimeOfLargeChange(link_delay, 800ms);
  CAPTURE(ToMillis(link_delay), ToMillis(alone), ToMillis(followed));
  CHECK(followed <= alone + 200ms);
}

}  // namespace jacinth::entry
