#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using test::ControlCluster;
using test::EntryDriver;

constexpr Duration kStep = 10ms;
constexpr Duration kOneWay = 20ms;
/// Interval at which a host reads the list, and time that a reading takes.
constexpr Duration kListInterval = 1s;
constexpr Duration kListTime = 300ms;
/// Interval of heartbeats in a fleet of 185 entries.
constexpr Duration kHeartbeatInterval = 500ms;
/// Time from the listing of a drain until no request may reach the endpoint,
/// less the time for a connection and for sending a request.
constexpr Duration kMaxDrainDelay = 3000ms - 500ms;
constexpr int kEntries = 12;
constexpr int kReplicas = 5;

/// Entries and a control group of the timing of the users' large deployment,
/// whose replicas read the platform's list as their hosts do.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed)
      : cluster_(seed, {kReplicas, kReplicas, 0, 500ms, 120ms}) {
    cluster_.loss_percent = 0;
    cluster_.duplicate_percent = 0;
    cluster_.on_entry_message = [this](const std::string& entry,
                                       const protocol::Envelope& envelope) {
      to_entries_.push_back({cluster_.now() + kOneWay, entry, envelope});
    };
    cluster_.on_list_endpoints = [this](std::size_t machine) {
      StartReading(machine);
    };
    for (int i = 0; i < kEntries; ++i) {
      EntryOptions options = EntryDriver::DefaultOptions();
      options.self.id = "e" + std::to_string(i);
      options.heartbeat = kHeartbeatInterval;
      options.control_timeout = 2s;
      options.contacts.clear();
      for (int replica = 1; replica <= kReplicas; ++replica)
        options.contacts.push_back("c" + std::to_string(replica));
      // Entries begin at different times.
      entries_.push_back({std::make_unique<EntryDriver>(options),
                          cluster_.now() + i * kHeartbeatInterval / kEntries});
    }
    next_reading_.resize(kReplicas, cluster_.now());
    Run(2s);
    control::ChangeRequested change;
    change.operator_settings.branches = {"*"};
    change.change.idempotency_key = "first";
    change.change.any_revision = true;
    change.change.changes = {{"service/s", {{"ttl_ms", "500"}}}};
    cluster_.InjectEvent(Leader(), change);
    Run(5s);
  }

  void Run(Duration duration) {
    const Time end = cluster_.now() + duration;
    while (cluster_.now() < end) {
      cluster_.Run(kStep);
      for (std::size_t i = 0; i < kReplicas; ++i)
        StepHost(i);
      for (Entry& entry : entries_)
        StepEntry(entry);
    }
  }

  std::size_t Leader() { return cluster_.Leader().value(); }
  /// Runs until just before the leader's next reading.
  void RunUntilReading() {
    Run(next_reading_[Leader()] - cluster_.now() - 2 * kStep);
  }
  void FreezeLeader(Duration duration) { cluster_.Freeze(Leader(), duration); }
  void CrashLeader() { cluster_.Crash(Leader()); }
  void DrainEndpoint() { draining_ = true; }

  /// Returns true if all entries know the endpoint, and that it drains if
  /// `draining` is true.
  bool AllKnow(bool draining) const {
    return std::all_of(
        entries_.begin(), entries_.end(), [&](const Entry& entry) {
          const auto& endpoints = entry.driver->node.session().endpoints();
          const auto found = endpoints.find("1");
          return found != endpoints.end() && found->second.draining == draining;
        });
  }
  /// Number of readings of the list so far.
  int readings() const { return readings_; }

 private:
  struct Entry {
    std::unique_ptr<EntryDriver> driver;
    Time start;
  };
  struct ToEntry {
    Time due;
    std::string entry;
    protocol::Envelope envelope;
  };
  struct Reading {
    Time due;
    std::vector<protocol::ListedEndpoint> list;
  };

  void StartReading(std::size_t machine) {
    if (readings_by_machine_.count(machine) != 0)
      return;
    ++readings_;
    protocol::ListedEndpoint endpoint;
    endpoint.id = "1";
    endpoint.started_ms = 1;
    endpoint.service = "s";
    endpoint.address = "10.0.0.1:1";
    endpoint.draining = draining_;
    readings_by_machine_[machine] = {cluster_.now() + kListTime, {endpoint}};
  }

  void StepHost(std::size_t machine) {
    if (!cluster_.IsUp(machine) || cluster_.IsFrozen(machine))
      return;
    if (cluster_.now() >= next_reading_[machine]) {
      next_reading_[machine] = cluster_.now() + kListInterval;
      if (cluster_.node(machine)->Leads())
        StartReading(machine);
    }
    const auto reading = readings_by_machine_.find(machine);
    if (reading == readings_by_machine_.end() ||
        cluster_.now() < reading->second.due)
      return;
    const control::EndpointsListed listed{reading->second.list};
    readings_by_machine_.erase(reading);
    cluster_.InjectEvent(machine, listed);
  }

  void StepEntry(Entry& entry) {
    EntryDriver& driver = *entry.driver;
    if (cluster_.now() < entry.start)
      return;
    driver.now = cluster_.now();
    driver.Step(Tick{});
    std::erase_if(to_entries_, [&](const ToEntry& message) {
      if (message.entry != driver.node.session().self().id ||
          message.due > cluster_.now())
        return false;
      driver.Step(MessageReceived{"", message.envelope});
      return true;
    });
    for (const OutgoingMessage& message : std::exchange(driver.messages, {})) {
      for (std::size_t i = 0; i < kReplicas; ++i) {
        if (cluster_.instance(i) == message.to_instance)
          cluster_.SendFromEntry(driver.node.session().self().id, i,
                                 message.envelope);
      }
    }
  }

  ControlCluster cluster_;
  std::vector<Entry> entries_;
  std::deque<ToEntry> to_entries_;
  std::vector<Time> next_reading_;
  std::map<std::size_t, Reading> readings_by_machine_;
  bool draining_ = false;
  int readings_ = 0;
};

}  // namespace

// Pattern: endpoints leave while the leader is kept busy or lost. Guards
// against entries that learn of it only from the next leader, after an
// election, the search for that leader and its first reading of the list.
TEST_CASE("Entries know in time of a drain that no leader tells them") {
  const bool crashes = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(crashes, seed);
    Fleet fleet(seed);
    REQUIRE(fleet.AllKnow(false));
    // The list shows the drain right after the leader has begun to read it, and
    // the leader is lost right before it reads it again.
    fleet.RunUntilReading();
    fleet.Run(kListTime);
    fleet.DrainEndpoint();
    fleet.Run(kListInterval - kListTime - kStep);
    REQUIRE(fleet.AllKnow(false));
    const int readings = fleet.readings();
    if (crashes)
      fleet.CrashLeader();
    else
      fleet.FreezeLeader(1500ms);
    fleet.Run(kMaxDrainDelay - (kListInterval - kListTime));
    CHECK(fleet.AllKnow(true));
    // Two replicas, every 500 ms, and the next leader.
    CHECK(fleet.readings() - readings <= 10);
  }
}

// Guards against calls of the platform by each replica, which are limited and
// cost.
TEST_CASE("Replicas leave the list to a leader that answers") {
  Fleet fleet(1);
  const int before = fleet.readings();
  fleet.Run(5s);
  CHECK(fleet.readings() - before <= 6);
}

}  // namespace jacinth::entry
