#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::NarrowEntry;
using test::NarrowFleet;

/// Entries and endpoints of the users' large deployment.
constexpr int kEntries = 185;
constexpr int kEndpoints = 900;

std::vector<protocol::ListedEndpoint> MakeEndpoints(int count) {
  std::vector<protocol::ListedEndpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    protocol::ListedEndpoint endpoint;
    endpoint.id = "i-" + std::to_string(7'919 * i);
    endpoint.started_ms = 1;
    endpoint.service = "s";
    endpoint.address = "10.0." + std::to_string(i / 250) + "." +
                       std::to_string(i % 250) + ":8080";
    endpoint.failure_domain = "west-a";
    endpoint.slots = 6;
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

const std::vector<protocol::BranchChange> kSettings = {
    {"service/s", {{"probe_interval_ms", "0"}}},
    {"route/safe",
     {{"host", "h"},
      {"path_prefix", "/"},
      {"execution", "repeatable"},
      {"service", "s"},
      {"affinity", "true"},
      {"objective_ms", "1000"},
      {"request_timeout_ms", "8000"},
      {"attempt_timeout_ms", "8000"}}}};

void SendRequest(EntryDriver& driver, const std::string& object) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/x";
  arrival.object = object;
  driver.Step(arrival);
  if (!driver.attempts.empty())
    driver.EndAttempt(driver.attempts.back(),
                      forwarding::AttemptEnd::kAnswered);
  driver.attempts.clear();
}

/// A fleet that has settings, endpoints and slice owners.
struct Fleet {
  explicit Fleet(int entries, int endpoints = kEndpoints) : fleet(entries) {
    fleet.Change(kSettings);
    fleet.ListEndpoints(MakeEndpoints(endpoints));
    fleet.Run(3s);
  }

  /// Each entry sends requests for `count` objects that no other entry asks
  /// for.
  void UseObjects(int count) {
    int object = 0;
    for (NarrowEntry& entry : fleet.entries()) {
      for (int i = 0; i < count; ++i)
        SendRequest(*entry.driver, "object-" + std::to_string(++object));
    }
  }

  bool AllHold(std::size_t endpoints) {
    return std::all_of(fleet.entries().begin(), fleet.entries().end(),
                       [&](const NarrowEntry& entry) {
                         return entry.session().endpoints().size() == endpoints;
                       });
  }

  NarrowFleet fleet;
};

}  // namespace

// Pattern: an election. Guards against a new leader that sends each entry all
// endpoints and slice owners, which fills the links of the entries and takes so
// long that it loses its lease.
TEST_CASE("After a change of leader, entries are sent only what differs") {
  Fleet test(kEntries);
  test.UseObjects(10);
  test.fleet.Run(2s);
  REQUIRE(test.AllHold(kEndpoints));
  const std::size_t before = test.fleet.sent_bytes();
  test.fleet.ReplaceLeader();
  const auto term = test.fleet.node().replica()->term();
  auto changed = MakeEndpoints(kEndpoints);
  changed[17].draining = true;
  test.fleet.ListEndpoints(changed);
  test.fleet.Run(5s);
  REQUIRE(test.fleet.node().replica()->term() > term);
  for (const NarrowEntry& entry : test.fleet.entries()) {
    REQUIRE(entry.session().endpoints_version() >> 32U ==
            test.fleet.node().replica()->term());
    REQUIRE(entry.session().slices().version() >> 32U ==
            test.fleet.node().replica()->term());
    REQUIRE(entry.session().endpoints().at(changed[17].id).draining);
  }
  // The member list is 13 KB, all endpoints are 60 KB and all owners 40 KB.
  constexpr std::size_t kMaxBytesPerEntry = 30'000;
  CHECK(test.fleet.sent_bytes() - before < kEntries * kMaxBytesPerEntry);
}

// Pattern: upstreams are replaced one after the other.
TEST_CASE("A changed endpoint is sent to all entries in one message") {
  Fleet test(kEntries);
  const std::size_t sent = test.fleet.sent_bytes();
  const std::size_t encoded = test.fleet.encoded_bytes();
  auto endpoints = MakeEndpoints(kEndpoints);
  endpoints[3].draining = true;
  test.fleet.ListEndpoints(endpoints);
  CHECK(test.fleet.encoded_bytes() - encoded <=
        (test.fleet.sent_bytes() - sent) / kEntries);
  test.fleet.Run(100ms);
  for (const NarrowEntry& entry : test.fleet.entries())
    CHECK(entry.session().endpoints().at(endpoints[3].id).draining);
}

// Pattern: machines are stopped and started in turn. Guards against a list of
// all members to all members for each of them.
TEST_CASE("A changed member is sent to the others without the rest") {
  Fleet test(kEntries);
  const std::size_t before = test.fleet.sent_bytes();
  EntryDriver& stopping = *test.fleet.entries()[7].driver;
  stopping.Step(StopRequested{});
  test.fleet.Run(1s);
  const std::string id = stopping.node.session().self().id;
  for (const NarrowEntry& entry : test.fleet.entries()) {
    const auto& members = entry.session().members();
    REQUIRE(members.size() == kEntries);
    REQUIRE(std::is_sorted(members.begin(), members.end(),
                           [](const auto& left, const auto& right) {
                             return left.id < right.id;
                           }));
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const auto& member) { return member.id == id; });
    REQUIRE(found != members.end());
    CHECK(found->draining);
  }
  // Heartbeats are answered with about 50 bytes each.
  constexpr std::size_t kMaxBytesPerEntry = 1'000;
  CHECK(test.fleet.sent_bytes() - before < kEntries * kMaxBytesPerEntry);
}

// Pattern: traffic starts at all entries at once, each with objects that have
// no owner yet. Guards against a leader that gets a heartbeat for each claim.
TEST_CASE("Claims of slices don't raise the rate of heartbeats without bound") {
  Fleet test(kEntries);
  const std::size_t before = test.fleet.heartbeats();
  constexpr int kSteps = 100;
  for (int i = 0; i < kSteps; ++i) {
    int entry_index = 0;
    for (NarrowEntry& entry : test.fleet.entries()) {
      SendRequest(*entry.driver, "object-" + std::to_string(i) + "-" +
                                     std::to_string(++entry_index));
    }
    test.fleet.Run(NarrowFleet::kStep);
  }
  // One second: at 0.15 of a core, 1,200 heartbeats leave 125 us for each.
  CHECK(test.fleet.heartbeats() - before < 1'200);
}

// Pattern: traffic starts at all entries at once. Guards against a leader that
// makes an update of its own for almost each entry, for longer than its lease.
TEST_CASE("Entries that hold different versions are sent few updates") {
  Fleet test(kEntries);
  test.fleet.ForgetBroadcasts();
  for (int i = 0; i < 10; ++i) {
    int entry_index = 0;
    for (NarrowEntry& entry : test.fleet.entries()) {
      SendRequest(*entry.driver, "object-" + std::to_string(i) + "-" +
                                     std::to_string(++entry_index));
      if (entry_index % 20 == 0)
        test.fleet.Run(NarrowFleet::kStep);
    }
  }
  CHECK(test.fleet.most_broadcasts() <= 16);
  test.fleet.Run(3s);
  std::set<std::string> digests;
  for (const NarrowEntry& entry : test.fleet.entries())
    digests.insert(entry.session().slices().Digest().ToBytes());
  CHECK(digests.size() == 1);
}

// Guards against entries that go on without changes which were lost on the way.
TEST_CASE("Changes that are lost reach all entries in the end") {
  Fleet test(20, 50);
  test.UseObjects(3);
  test.fleet.Run(1s);
  test.fleet.LoseMessages(true);
  auto endpoints = MakeEndpoints(60);
  endpoints[3].draining = true;
  test.fleet.ListEndpoints(endpoints);
  test.UseObjects(6);
  test.fleet.entries()[7].driver->Step(StopRequested{});
  test.fleet.Run(700ms);
  test.fleet.LoseMessages(false);
  endpoints[4].draining = true;
  test.fleet.ListEndpoints(endpoints);
  test.fleet.Run(3s);
  std::set<std::string> digests;
  for (const NarrowEntry& entry : test.fleet.entries()) {
    CHECK(entry.session().endpoints().size() == 60);
    CHECK(entry.session().endpoints().at(endpoints[3].id).draining);
    CHECK(entry.session().endpoints().at(endpoints[4].id).draining);
    digests.insert(entry.session().slices().Digest().ToBytes());
    const auto& members = entry.session().members();
    CHECK(std::count_if(members.begin(), members.end(), [](const auto& member) {
            return member.draining;
          }) == 1);
  }
  CHECK(digests.size() == 1);
}

// Pattern: an upgrade. Entries of earlier builds are sent whole lists, also by
// a leader that they didn't hear from before.
TEST_CASE("Entries of an earlier build run beside those of this one") {
  Fleet test(12, 50);
  for (std::size_t i = 0; i < 6; ++i)
    test.fleet.entries()[i].is_earlier_build = true;
  test.UseObjects(3);
  test.fleet.Run(1s);
  test.fleet.ReplaceLeader();
  auto endpoints = MakeEndpoints(60);
  endpoints[3].draining = true;
  test.fleet.ListEndpoints(endpoints);
  test.fleet.entries()[7].driver->Step(StopRequested{});
  test.fleet.Run(6s);
  std::set<std::string> digests;
  for (const NarrowEntry& entry : test.fleet.entries()) {
    CHECK(entry.session().endpoints().size() == 60);
    CHECK(entry.session().endpoints().at(endpoints[3].id).draining);
    digests.insert(entry.session().slices().Digest().ToBytes());
    const auto& members = entry.session().members();
    CHECK(std::count_if(members.begin(), members.end(), [](const auto& member) {
            return member.draining;
          }) == 1);
  }
  CHECK(digests.size() == 1);
}

// Guards against entries that all ask all control instances, several times a
// second, as long as there is no leader.
TEST_CASE("An entry without a leader asks few contacts and follows a hint") {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.contacts.clear();
  for (int i = 0; i < 15; ++i)
    options.contacts.push_back("c" + std::to_string(i));
  EntryDriver driver(options);
  std::set<std::string> asked;
  std::size_t most = 0;
  const auto ask = [&] {
    driver.messages.clear();
    for (int i = 0; i < 50 && driver.messages.empty(); ++i) {
      driver.now += 20ms;
      driver.Step(Tick{});
    }
    most = std::max(most, driver.messages.size());
    for (const auto& message : driver.messages)
      asked.insert(message.to_instance);
    return driver.messages;
  };
  for (int i = 0; i < 5; ++i)
    ask();
  CHECK(most <= 5);
  CHECK(asked.size() == options.contacts.size());
  protocol::HeartbeatReply reply;
  reply.leader_hint = "c9";
  driver.Step(MessageReceived{"c2", reply});
  const auto messages = ask();
  CHECK(std::any_of(messages.begin(), messages.end(), [](const auto& message) {
    return message.to_instance == "c9";
  }));
}

// Pattern: all machines have lost power and start again. Guards against callers
// with one retry that are sent back before any instance can serve them.
TEST_CASE(
    "Callers of an instance that has just started return when it's ready") {
  EntryDriver driver;
  driver.Step(Tick{});
  const auto return_after = [&] {
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.host = "h";
    arrival.path = "/x";
    driver.Step(arrival);
    const RefuseRequest* refusal = driver.FindRefusal(arrival.ticket);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->outcome == Outcome::kNotRun);
    return refusal->retry_after;
  };
  std::set<Duration> first;
  for (int i = 0; i < 50; ++i)
    first.insert(return_after());
  CHECK(*first.begin() >= 1500ms);
  CHECK(*first.rbegin() <= 3s);
  CHECK(*first.rbegin() - *first.begin() >= 500ms);
  driver.now += 3s;
  driver.Step(Tick{});
  CHECK(return_after() <= 1500ms);
}

}  // namespace jacinth::entry
