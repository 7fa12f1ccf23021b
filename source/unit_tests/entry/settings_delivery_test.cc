#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "core/control/control_node.h"
#include "core/wire/envelope_codec.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using control::ControlActions;
using control::ControlNode;
using test::EntryDriver;

constexpr Duration kStep = 10ms;
constexpr Duration kOneWay = 20ms;
/// Link of an entry on the users' grown deployments, in bytes per second.
constexpr double kLinkBytesPerSecond = 2e6 / 8;
/// Part of the link that is left beside callers.
constexpr double kFreeShare = 0.9;
/// Time after the acknowledgement by which settings must be in force:
/// `config_propagation_ms` of the users' deployments.
constexpr Duration kPropagation = 2500ms;
constexpr int kAddedRoutes = 1'400;

std::string RouteBranch(int index) {
  return "route/r-" + std::to_string(index);
}

settings::Tree::Values RouteValues(int index) {
  return {{"host", "host" + std::to_string(index % 7) + ".example"},
          {"path_prefix", "/path" + std::to_string(index * 7919) + "/"},
          {"execution", "repeatable"},
          {"service", "s"},
          {"objective_ms", "600"},
          {"request_timeout_ms", "1200"},
          {"attempt_timeout_ms", "1200"},
          {"max_attempts", "2"},
          {"priority", "1"},
          {"affinity", "true"}};
}

/// An entry behind a link that passes a limited number of bytes per second.
struct NarrowEntry {
  struct Delivery {
    Time due;
    protocol::Envelope envelope;
  };

  explicit NarrowEntry(int index) {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.self.id = "e" + std::to_string(index);
    options.heartbeat = 300ms;
    options.control_timeout = 2s;
    driver = std::make_unique<EntryDriver>(options);
  }

  void Deliver(const protocol::Envelope& envelope, Time now) {
    const std::string bytes = wire::EncodeEnvelope(envelope);
    received_bytes += bytes.size();
    const std::chrono::duration<double> transfer(
        static_cast<double>(bytes.size()) / kLinkBytesPerSecond / kFreeShare);
    link_free = std::max(link_free, now) +
                std::chrono::duration_cast<Duration>(transfer);
    deliveries.push_back({link_free + kOneWay, *wire::DecodeEnvelope(bytes)});
  }

  std::unique_ptr<EntryDriver> driver;
  std::deque<Delivery> deliveries;
  std::size_t received_bytes = 0;
  Time link_free{};
};

/// A control group of one replica, and entries with narrow links.
class NarrowFleet {
 public:
  explicit NarrowFleet(int entries)
      : node_(*ControlNode::Create(Options(), {}, clock_)) {
    for (int i = 0; i < entries; ++i) {
      entries_.emplace_back(i);
      entries_.back().driver->now = clock_.now;
    }
    Run(3s);
  }

  void Run(Duration duration) {
    const Time end = clock_.now + duration;
    while (clock_.now < end) {
      clock_.now += kStep;
      StepControl(control::Tick{});
      for (NarrowEntry& entry : entries_)
        StepEntry(entry);
      DeliverHeartbeats();
    }
  }

  void AddRoutes(int first, int count) {
    control::ChangeRequested request;
    request.operator_settings.branches = {"*"};
    request.change.idempotency_key = std::to_string(first);
    request.change.any_revision = true;
    for (int i = first; i < first + count; ++i)
      request.change.changes.push_back({RouteBranch(i), RouteValues(i)});
    if (first == 0) {
      request.change.changes.push_back(
          {"service/s", {{"probe_interval_ms", "0"}}});
    }
    StepControl(request);
  }

  std::uint64_t revision() const { return node_.state().revision(); }
  std::vector<NarrowEntry>& entries() { return entries_; }

 private:
  struct SentHeartbeat {
    Time due;
    std::string from;
    protocol::Envelope envelope;
  };

  static control::ControlOptions Options() {
    control::ControlOptions options;
    options.replica.id = "c1#1";
    options.replica.election_timeout = 500ms;
    options.replica.heartbeat = 120ms;
    options.contacts = {"c1"};
    options.entry_timeout = 1500ms;
    options.snapshot_entries = 1'000'000;
    return options;
  }

  void StepControl(const control::ControlEvent& event) {
    Execute(node_.Step(event, clock_));
  }

  void Execute(const ControlActions& actions) {
    for (const auto& message : actions.messages) {
      for (NarrowEntry& entry : entries_) {
        if (entry.driver->node.session().self().id == message.to_instance)
          entry.Deliver(message.envelope, clock_.now);
      }
    }
    for (const auto& write : actions.writes)
      StepControl(control::WritesSynced{write.id});
  }

  void StepEntry(NarrowEntry& entry) {
    EntryDriver& driver = *entry.driver;
    driver.now = clock_.now;
    driver.Step(Tick{});
    while (!entry.deliveries.empty() &&
           entry.deliveries.front().due <= clock_.now) {
      const auto delivery = std::move(entry.deliveries.front());
      entry.deliveries.pop_front();
      driver.Step(MessageReceived{"c1", delivery.envelope});
    }
    for (auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>()) {
      heartbeats_.push_back(
          {clock_.now + kOneWay, heartbeat.status.id, std::move(heartbeat)});
    }
  }

  void DeliverHeartbeats() {
    while (!heartbeats_.empty() && heartbeats_.front().due <= clock_.now) {
      const SentHeartbeat heartbeat = std::move(heartbeats_.front());
      heartbeats_.pop_front();
      StepControl(control::MessageReceived{heartbeat.from, heartbeat.envelope});
    }
  }

  ClockReading clock_{Time{1000s}, 1'000'000};
  ControlNode node_;
  std::vector<NarrowEntry> entries_;
  std::deque<SentHeartbeat> heartbeats_;
};

bool IsUnknownRoute(EntryDriver& driver, int route) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "host" + std::to_string(route % 7) + ".example";
  arrival.method = "GET";
  arrival.path = "/path" + std::to_string(route * 7919) + "/x";
  driver.Step(arrival);
  const RefuseRequest* refusal = driver.FindRefusal(arrival.ticket);
  return refusal != nullptr && refusal->error.kind == ErrorKind::kUnknownPath;
}

}  // namespace

// Guards against requests on acknowledged routes that get 404: a large change
// was sent again with every heartbeat and filled the links of the entries.
TEST_CASE("A large change is in force on entries with narrow links in time") {
  NarrowFleet fleet(8);
  fleet.AddRoutes(0, 5);
  fleet.Run(2s);
  for (NarrowEntry& entry : fleet.entries())
    REQUIRE(entry.driver->node.session().self().revision == fleet.revision());

  fleet.AddRoutes(5, kAddedRoutes);
  fleet.Run(200ms);
  fleet.AddRoutes(kAddedRoutes + 5, 1);
  Duration waited{0};
  while (waited < kPropagation) {
    fleet.Run(kStep);
    waited += kStep;
    for (NarrowEntry& entry : fleet.entries())
      REQUIRE(entry.driver->node.session().InContact(entry.driver->now));
  }
  for (NarrowEntry& entry : fleet.entries()) {
    CHECK(entry.driver->node.session().self().revision == fleet.revision());
    CHECK_FALSE(IsUnknownRoute(*entry.driver, kAddedRoutes / 2));
  }
}

// Guards against an entry that starts and waits for a large tree for longer
// than settings may take.
TEST_CASE("An entry that starts late receives large settings in time") {
  NarrowFleet fleet(1);
  fleet.AddRoutes(0, 5);
  fleet.AddRoutes(5, kAddedRoutes);
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
  fleet.AddRoutes(0, 5);
  fleet.Run(500ms);
  for (NarrowEntry& entry : fleet.entries())
    CHECK(entry.driver->node.session().self().revision == fleet.revision());
}

// Guards against an entry that receives an update that doesn't fit its settings
// over and over again.
TEST_CASE(
    "An entry whose settings differ from the leader's gets the whole tree") {
  NarrowFleet fleet(1);
  fleet.AddRoutes(0, 5);
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
  fleet.AddRoutes(5, 1);
  fleet.AddRoutes(6, 1);
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

}  // namespace jacinth::entry
