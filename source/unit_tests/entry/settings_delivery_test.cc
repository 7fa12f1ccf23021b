#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"
#include "core/wire/settings_packing.h"
#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::NarrowEntry;
using test::NarrowFleet;

/// Time after the acknowledgement by which settings must be in force:
/// `config_propagation_ms` of the users' deployments.
constexpr Duration kPropagation = 2500ms;
/// The same on the deployment of hundreds of instances.
constexpr Duration kLargePropagation = 3s;
constexpr int kAddedRoutes = 1'400;

// Returns a path prefix that says as little about others as those of operators.
std::string PathPrefix(int index) {
  return "/" +
         std::to_string(Hash64("path", static_cast<std::uint64_t>(index))) +
         "/";
}

std::string RouteBranch(int index) {
  return "route/r-" + std::to_string(index);
}

settings::Tree::Values RouteValues(int index) {
  return {{"host", "host" + std::to_string(index % 7) + ".example"},
          {"path_prefix", PathPrefix(index)},
          {"execution", "repeatable"},
          {"service", "s"},
          {"objective_ms", "600"},
          {"request_timeout_ms", "1200"},
          {"attempt_timeout_ms", "1200"},
          {"max_attempts", "2"},
          {"priority", "1"},
          {"affinity", "true"}};
}

void AddRoutes(NarrowFleet& fleet, int first, int count) {
  std::vector<protocol::BranchChange> changes;
  changes.reserve(static_cast<std::size_t>(count));
  for (int i = first; i < first + count; ++i)
    changes.push_back({RouteBranch(i), RouteValues(i)});
  if (first == 0)
    changes.push_back({"service/s", {{"probe_interval_ms", "0"}}});
  fleet.Change(changes);
}

bool IsUnknownRoute(EntryDriver& driver, int route) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "host" + std::to_string(route % 7) + ".example";
  arrival.method = "GET";
  arrival.path = PathPrefix(route) + "x";
  driver.Step(arrival);
  const RefuseRequest* refusal = driver.FindRefusal(arrival.ticket);
  return refusal != nullptr && refusal->error.kind == ErrorKind::kUnknownPath;
}

}  // namespace

// Guards against requests on acknowledged routes that get 404: a large change
// was sent again with every heartbeat and filled the links of the entries.
TEST_CASE("A large change is in force on entries with narrow links in time") {
  NarrowFleet fleet(8);
  AddRoutes(fleet, 0, 5);
  fleet.Run(2s);
  for (NarrowEntry& entry : fleet.entries())
    REQUIRE(entry.driver->node.session().self().revision == fleet.revision());

  AddRoutes(fleet, 5, kAddedRoutes);
  fleet.Run(200ms);
  AddRoutes(fleet, kAddedRoutes + 5, 1);
  Duration waited{0};
  while (waited < kPropagation) {
    fleet.Run(NarrowFleet::kStep);
    waited += NarrowFleet::kStep;
    for (NarrowEntry& entry : fleet.entries())
      REQUIRE(entry.driver->node.session().InContact(entry.driver->now));
  }
  for (NarrowEntry& entry : fleet.entries()) {
    CHECK(entry.driver->node.session().self().revision == fleet.revision());
    CHECK_FALSE(IsUnknownRoute(*entry.driver, kAddedRoutes / 2));
  }
}

// Guards against an acknowledged change that waits behind a large one, at an
// entry that missed its push and whose link is slow
// (docs/incidents/large-change-behind.md).
TEST_CASE("A small change is in force in time although a large one follows") {
  NarrowFleet fleet(8);
  AddRoutes(fleet, 0, 5);
  fleet.Run(2s);
  for (NarrowEntry& entry : fleet.entries())
    entry.link_delay = 300ms;
  NarrowEntry& slow = fleet.entries().front();
  slow.link_delay = 600ms;
  fleet.Run(3s);
  REQUIRE(slow.session().InContact(slow.driver->now));

  // The slow entry misses the first change.
  slow.is_cut = true;
  AddRoutes(fleet, 5, 1);
  const std::uint64_t acknowledged = fleet.revision();
  fleet.Run(400ms);
  slow.is_cut = false;
  AddRoutes(fleet, 6, kAddedRoutes);
  fleet.Run(kLargePropagation - 400ms);
  for (NarrowEntry& entry : fleet.entries())
    CHECK(entry.session().self().revision >= acknowledged);
}

// Guards against a leader that encodes a large change for each entry anew,
// which takes it longer than its lease if there are hundreds.
TEST_CASE("A change is encoded once for all entries that hold the same") {
  constexpr int kEntries = 40;
  NarrowFleet fleet(kEntries);
  AddRoutes(fleet, 0, 5);
  fleet.Run(2s);
  const std::size_t encoded = fleet.encoded_bytes();
  const std::size_t sent = fleet.sent_bytes();
  AddRoutes(fleet, 5, kAddedRoutes);
  CHECK((fleet.sent_bytes() - sent) / kEntries ==
        fleet.encoded_bytes() - encoded);
}

// Guards against large changes that take a round trip for each piece.
TEST_CASE("A large change is in force in time on links with a long delay") {
  NarrowFleet fleet(8);
  AddRoutes(fleet, 0, 5);
  fleet.Run(2s);
  for (NarrowEntry& entry : fleet.entries())
    entry.link_delay = 400ms;
  fleet.Run(3s);
  AddRoutes(fleet, 5, kAddedRoutes);
  fleet.Run(kLargePropagation);
  for (NarrowEntry& entry : fleet.entries())
    CHECK(entry.session().self().revision == fleet.revision());
}

// Guards against an entry that starts and waits for a large tree for longer
// than settings may take.
TEST_CASE("An entry that starts late receives large settings in time") {
  NarrowFleet fleet(1);
  AddRoutes(fleet, 0, 5);
  AddRoutes(fleet, 5, kAddedRoutes);
  fleet.Run(10s);
  NarrowEntry& entry = fleet.entries().front();
  const std::string id = entry.driver->node.session().self().id;
  entry = NarrowEntry(0);
  fleet.Run(kPropagation);
  CHECK(entry.driver->node.session().self().revision == fleet.revision());
}

// Guards against first settings that come a second late, as the entry discards
// them unless they answer a heartbeat.
TEST_CASE("Entries that wait for the first settings get them at once") {
  NarrowFleet fleet(8);
  AddRoutes(fleet, 0, 5);
  fleet.Run(500ms);
  for (NarrowEntry& entry : fleet.entries())
    CHECK(entry.driver->node.session().self().revision == fleet.revision());
}

// Guards against an entry that receives an update that doesn't fit its settings
// over and over again.
TEST_CASE(
    "An entry whose settings differ from the leader's gets the whole tree") {
  NarrowFleet fleet(1);
  AddRoutes(fleet, 0, 5);
  fleet.Run(1s);
  EntryDriver& driver = *fleet.entries().front().driver;
  protocol::HeartbeatReply reply;
  reply.leader = true;
  reply.update.base_revision = fleet.revision();
  reply.update.revision = fleet.revision() + 1;
  reply.update.changes = {{RouteBranch(99), RouteValues(99)}};
  settings::Tree tree;
  tree.Replace("service/s", {{"probe_interval_ms", "0"}});
  for (int i = 0; i < 5; ++i)
    tree.Replace(RouteBranch(i), RouteValues(i));
  tree.Replace(RouteBranch(99), RouteValues(99));
  reply.update.checksum = Hash64(tree.ToIni());
  driver.Step(MessageReceived{"c1", reply});
  REQUIRE(driver.node.session().self().revision == fleet.revision() + 1);
  AddRoutes(fleet, 5, 1);
  AddRoutes(fleet, 6, 1);
  fleet.Run(1s);
  CHECK(driver.node.session().self().revision == fleet.revision());
  CHECK_FALSE(IsUnknownRoute(driver, 6));
  CHECK(IsUnknownRoute(driver, 99));
}

// Guards against a 404 from an entry that knows that it lacks newer settings or
// that hasn't heard from a leader for a while.
TEST_CASE(
    "Only an entry with the newest settings says that a route is unknown") {
  EntryDriver driver;
  driver.ApplySettings(test::ServiceSettingsText());
  const auto refusal_kind = [&] {
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.host = "h";
    arrival.method = "GET";
    arrival.path = "/new/";
    driver.Step(arrival);
    return driver.FindRefusal(arrival.ticket)->error.kind;
  };
  CHECK(refusal_kind() == ErrorKind::kUnknownPath);
  SECTION("a leader has named a newer revision") {
    protocol::HeartbeatReply reply;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.revision = driver.revision + 1;
    driver.Step(MessageReceived{"c1", reply});
    CHECK(refusal_kind() == ErrorKind::kNotReady);
  }
  SECTION("no leader has answered in time") {
    driver.AdvanceTime(EntryDriver::DefaultOptions().control_timeout);
    CHECK(refusal_kind() == ErrorKind::kNotReady);
  }
}

// Guards against a request that is sent to the region of a route that was
// replaced for longer than changes may take.
TEST_CASE("Settings that were replaced long ago decide no request") {
  const bool has_bound = GENERATE(true, false);
  EntryOptions options = EntryDriver::DefaultOptions();
  options.limits.settings_bound = has_bound ? kPropagation : Duration{0};
  EntryDriver driver(options);
  driver.ApplySettings(test::ServiceSettingsText());
  const Time confirmed = driver.node.session().settings_confirmed_at();
  const auto is_refused = [&] {
    const auto* refusal = driver.FindRefusal(driver.SendRequest("GET", "/"));
    const bool is_not_ready =
        refusal != nullptr && refusal->error.kind == ErrorKind::kNotReady;
    return is_not_ready;
  };
  // Lets the leader name the next revision, whose settings don't arrive.
  const auto run_until = [&](Time end) {
    while (driver.now < end) {
      driver.AdvanceTime(20ms);
      protocol::HeartbeatReply reply;
      reply.sequence = driver.last_heartbeat.sequence;
      reply.leader = true;
      reply.leader_hint = "c1";
      reply.revision = driver.revision + 1;
      driver.Step(MessageReceived{"c1", reply});
    }
  };
  run_until(confirmed + kPropagation);
  CHECK_FALSE(is_refused());
  run_until(confirmed + kPropagation + 100ms);
  CHECK(is_refused() == has_bound);
  SECTION("the settings arrive") {
    driver.ApplySettings(test::ServiceSettingsText("max_attempts = 2\n"));
    CHECK_FALSE(is_refused());
  }
  SECTION("no leader answers any more") {
    driver.AdvanceTime(options.control_timeout);
    REQUIRE_FALSE(driver.node.session().InContact(driver.now));
    CHECK_FALSE(is_refused());
  }
}

// Guards against requests that are sent by replaced settings because the leader
// answers later than the control timeout, as in docs/incidents/home.md.
TEST_CASE(
    "Settings that were replaced long ago decide no request though the leader "
    "answers late") {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.control_timeout = 2s;
  options.limits.settings_bound = kPropagation;
  EntryDriver driver(options);
  driver.ApplySettings(test::ServiceSettingsText());
  const Time confirmed = driver.node.session().settings_confirmed_at();
  const Duration delay = GENERATE(1'900ms, 2'200ms);
  CAPTURE(delay.count());
  std::vector<std::pair<Time, std::uint64_t>> waiting;
  std::size_t answered = 0;
  while (driver.now < confirmed + kPropagation + 1s) {
    driver.AdvanceTime(20ms);
    if (waiting.empty() ||
        waiting.back().second != driver.last_heartbeat.sequence)
      waiting.emplace_back(driver.now, driver.last_heartbeat.sequence);
    for (; answered < waiting.size() &&
           waiting[answered].first + delay <= driver.now;
         ++answered) {
      // Names the next revision, whose settings don't arrive.
      protocol::HeartbeatReply reply;
      reply.sequence = waiting[answered].second;
      reply.leader = true;
      reply.leader_hint = "c1";
      reply.revision = driver.revision + 1;
      driver.Step(MessageReceived{"c1", reply});
    }
  }
  REQUIRE(answered > 0);
  REQUIRE(driver.node.session().IsOutdated());
  const auto* refusal = driver.FindRefusal(driver.SendRequest("GET", "/"));
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.kind == ErrorKind::kNotReady);
}

// Guards against an entry that refuses requests while a large change comes in
// time, but slowly.
TEST_CASE("A large change on a narrow link stops no entry") {
  const Duration link_delay = GENERATE(0ms, 200ms, 400ms, 600ms);
  CAPTURE(link_delay.count());
  NarrowFleet fleet(8);
  AddRoutes(fleet, 0, 5);
  fleet.Run(2s);
  for (NarrowEntry& entry : fleet.entries())
    entry.link_delay = link_delay;
  fleet.Run(3s);
  AddRoutes(fleet, 5, kAddedRoutes);
  for (Duration passed{0}; passed < kLargePropagation;
       passed += NarrowFleet::kStep) {
    fleet.Run(NarrowFleet::kStep);
    for (NarrowEntry& entry : fleet.entries()) {
      REQUIRE_FALSE(
          entry.session().HasReplacedSettings(entry.driver->now, kPropagation));
    }
  }
  for (NarrowEntry& entry : fleet.entries())
    CHECK(entry.session().self().revision == fleet.revision());
}

// Guards against an entry that refuses all requests because of a change that it
// can't apply, as during an upgrade.
TEST_CASE("An update that can't be applied stops no entry") {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.limits.settings_bound = kPropagation;
  EntryDriver driver(options);
  driver.ApplySettings(test::ServiceSettingsText());
  protocol::SettingsUpdate update;
  update.revision = driver.revision + 1;
  update.text = "[service/s]\nslots = 2\n";
  update.checksum = Hash64(update.text) + 1;
  const std::string packed = wire::PackSettings(update);
  const Time end = driver.now + kPropagation + 1s;
  while (driver.now < end) {
    driver.AdvanceTime(20ms);
    protocol::HeartbeatReply reply;
    reply.sequence = driver.last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.revision = update.revision;
    reply.settings_piece.position.revision = update.revision;
    reply.settings_piece.position.checksum = Hash64(packed);
    reply.settings_piece.total_bytes = packed.size();
    reply.settings_piece.bytes = packed;
    driver.Step(MessageReceived{"c1", reply});
  }
  REQUIRE(driver.node.session().IsOutdated());
  CHECK(driver.FindRefusal(driver.SendRequest("GET", "/")) == nullptr);
}

}  // namespace jacinth::entry
