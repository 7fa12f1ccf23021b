#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using protocol::HeartbeatReply;
using test::NarrowEntry;
using test::NarrowFleet;

/// Bounds of the users' rules: `config_propagation_ms`, and `contact_ms` + 3 s
/// for entries that the directory names although they are gone.
struct Deployment {
  int entries;
  Duration propagation;
  Duration directory;
};
constexpr Deployment kSmall = {8, 2500ms, 6s};
constexpr Deployment kLarge = {185, 3s, 7s};
/// Time by which a group of several replicas may elect a leader later than the
/// single replica of NarrowFleet.
constexpr Duration kElectionTime = 500ms;
/// Time from the listing of a drain until no request may reach the endpoint,
/// less the time for a connection and for sending a request.
constexpr Duration kDrainTime = 3000ms - 500ms;
constexpr Duration kStep = NarrowFleet::kStep;
constexpr Duration kControlTimeout = 2s;
/// Time between the phases of the first entry's heartbeats that are tried.
constexpr Duration kPhase = 70ms;
constexpr int kPhases = 5;

/// A fleet whose first entry misses messages of the leader: the first ones that
/// match.
class LossyFleet {
 public:
  using Matches = std::function<bool(const HeartbeatReply&)>;

  LossyFleet(int entries, int phase, int losses = 1)
      : fleet(entries), losses_left(losses) {
    fleet.Change({{"service/s", {{"probe_interval_ms", "0"}}}});
    fleet.Run(4s + phase * kPhase);
  }

  NarrowEntry& receiver() { return fleet.entries().front(); }
  const ControlSession& session() { return receiver().session(); }

  /// Runs until `is_done`, at most for `limit`, and loses messages to the entry
  /// that match. Returns the time that passed.
  Duration RunUntil(const std::function<bool()>& is_done,
                    const Matches& matches,
                    Duration limit) {
    Duration passed{0};
    Lose(matches);
    while (!is_done() && passed < limit) {
      fleet.Run(kStep);
      passed += kStep;
      Lose(matches);
    }
    return passed;
  }

  /// Replaces the leader and runs until the next one has answered the entry.
  void FollowNextLeader() {
    fleet.ReplaceLeader();
    const Time replaced = receiver().driver->now;
    while (session().contact_until() < replaced + kControlTimeout)
      fleet.Run(kStep);
  }

  NarrowFleet fleet;
  /// Number of messages that are still to be lost.
  int losses_left;

 private:
  void Lose(const Matches& matches) {
    auto& deliveries = receiver().deliveries;
    for (auto delivery = deliveries.begin();
         delivery != deliveries.end() && losses_left > 0;) {
      const auto* reply = std::get_if<HeartbeatReply>(&delivery->envelope);
      if (reply == nullptr || !matches(*reply)) {
        ++delivery;
        continue;
      }
      delivery = deliveries.erase(delivery);
      --losses_left;
    }
  }
};

bool HasSettings(const HeartbeatReply& reply) {
  return !reply.settings_piece.bytes.empty();
}

bool HasEndpoints(const HeartbeatReply& reply) {
  return reply.endpoints.version != 0;
}

bool HasMembers(const HeartbeatReply& reply) {
  return reply.members.version != 0;
}

bool HasMember(const ControlSession& session, const std::string& id) {
  const auto& members = session.members();
  return std::any_of(
      members.begin(), members.end(),
      [&](const protocol::EntryStatus& member) { return member.id == id; });
}

}  // namespace

// Guards against an acknowledged change, such as an evacuation, that an entry
// lacks for too long because one message was lost.
TEST_CASE("A change is in force in time though its message was lost") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const bool new_leader = GENERATE(false, true);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, new_leader, phase);
  LossyFleet test(deployment.entries, phase);
  if (new_leader)
    test.FollowNextLeader();
  test.fleet.Change(
      {{"region/west/failure_domain/west-b", {{"drain", "true"}}}});
  test.RunUntil(
      [&] { return test.session().self().revision == test.fleet.revision(); },
      HasSettings, deployment.propagation);
  REQUIRE(test.losses_left == 0);
  CHECK(test.session().self().revision == test.fleet.revision());
  CHECK(test.session().fleet()->drained_failure_domains.count("west-b") == 1);
}

// Guards against requests that are sent by routes which a change has replaced,
// because two messages in a row were lost.
TEST_CASE("A change is in force in time though two messages were lost") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const bool new_leader = GENERATE(false, true);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, new_leader, phase);
  LossyFleet test(deployment.entries, phase, 2);
  if (new_leader)
    test.FollowNextLeader();
  test.fleet.Change(
      {{"region/west/failure_domain/west-b", {{"drain", "true"}}}});
  const Duration passed = test.RunUntil(
      [&] { return test.session().self().revision == test.fleet.revision(); },
      HasSettings, deployment.propagation);
  CAPTURE(ToMillis(passed));
  REQUIRE(test.losses_left == 0);
  CHECK(test.session().self().revision == test.fleet.revision());
  CHECK(test.session().fleet()->drained_failure_domains.count("west-b") == 1);
}

// Guards against settings that come late because the answers that would show
// the loss are lost as well.
TEST_CASE("A change is in force in time though two answers were lost with it") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, phase);
  constexpr int kLosses = 3;
  LossyFleet test(deployment.entries, phase, kLosses);
  test.fleet.Change(
      {{"region/west/failure_domain/west-b", {{"drain", "true"}}}});
  const auto is_answer_or_settings = [](const HeartbeatReply& reply) {
    return reply.sequence != 0 || HasSettings(reply);
  };
  const Duration passed = test.RunUntil(
      [&] { return test.session().self().revision == test.fleet.revision(); },
      is_answer_or_settings, deployment.propagation);
  CAPTURE(ToMillis(passed));
  REQUIRE(test.losses_left == 0);
  CHECK(test.session().self().revision == test.fleet.revision());
}

// Guards against a 404 from an entry that lacks a change: it must learn from
// the next reply that there is one, or stop relying on the last reply.
TEST_CASE("An entry knows in time that it lacks a change") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const bool loses_all = GENERATE(false, true);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, loses_all, phase);
  LossyFleet test(deployment.entries, phase);
  test.receiver().is_cut = loses_all;
  test.fleet.Change({{"service/s", {{"ttl_ms", "500"}}}});
  const auto is_uncertain = [&] {
    return !test.session().HasNewestSettings(test.receiver().driver->now);
  };
  const Duration limit =
      loses_all ? kControlTimeout : test.session().HeartbeatInterval() + 100ms;
  test.RunUntil(is_uncertain, HasSettings, limit);
  CHECK(is_uncertain());
}

// Guards against look-ups that name an entry long after it has gone, as the
// member list of a new leader was lost.
TEST_CASE("Look-ups omit a lost entry in time though a list was lost") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const bool new_leader = GENERATE(false, true);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, new_leader, phase);
  LossyFleet test(deployment.entries, phase);
  NarrowEntry& gone = test.fleet.entries().back();
  const std::string id = gone.session().self().id;
  REQUIRE(HasMember(test.session(), id));
  // None of its heartbeats arrives.
  gone.link_delay = std::chrono::hours(1);
  if (new_leader)
    test.fleet.ReplaceLeader();
  test.RunUntil([&] { return !HasMember(test.session(), id); }, HasMembers,
                deployment.directory - kElectionTime);
  REQUIRE(test.losses_left == 0);
  CHECK_FALSE(HasMember(test.session(), id));
}

// Guards against look-ups that name an entry long after it has gone, as two
// messages in a row were lost.
TEST_CASE("Look-ups omit a lost entry in time though two lists were lost") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const bool new_leader = GENERATE(false, true);
  const int phase = GENERATE(range(0, kPhases));
  CAPTURE(deployment.entries, new_leader, phase);
  LossyFleet test(deployment.entries, phase, 2);
  NarrowEntry& gone = test.fleet.entries().back();
  const std::string id = gone.session().self().id;
  REQUIRE(HasMember(test.session(), id));
  // None of its heartbeats arrives.
  gone.link_delay = std::chrono::hours(1);
  if (new_leader)
    test.fleet.ReplaceLeader();
  const Duration passed =
      test.RunUntil([&] { return !HasMember(test.session(), id); }, HasMembers,
                    deployment.directory - kElectionTime);
  CAPTURE(ToMillis(passed));
  REQUIRE(test.losses_left == 0);
  CHECK_FALSE(HasMember(test.session(), id));
}

// Pattern: an endpoint leaves between the list of a new leader and the
// heartbeat that confirms it, and that change is lost. Guards against a change
// that is given as much time as the whole list before it.
TEST_CASE(
    "Entries know in time of a drain though a change after a list is lost") {
  const Deployment deployment = GENERATE(kSmall, kLarge);
  const Duration later = GENERATE(20ms, 60ms, 100ms);
  CAPTURE(deployment.entries, later.count());
  LossyFleet test(deployment.entries, 0);
  std::vector<protocol::ListedEndpoint> endpoints(1);
  endpoints[0].id = "1";
  endpoints[0].started_ms = 1;
  endpoints[0].service = "s";
  endpoints[0].address = "10.0.0.1:1";
  test.fleet.ListEndpoints(endpoints);
  test.fleet.Run(2s);
  const std::uint64_t before = test.session().endpoints_version();
  REQUIRE(before != 0);
  test.fleet.ReplaceLeader();
  while (test.session().endpoints_version() == before)
    test.fleet.Run(kStep);
  REQUIRE(test.receiver().deliveries.empty());
  test.fleet.Run(later - 20ms);
  endpoints[0].draining = true;
  test.fleet.ListEndpoints(endpoints);
  const auto is_known = [&] {
    return test.session().endpoints().at("1").draining;
  };
  test.RunUntil(is_known, HasEndpoints, kDrainTime);
  REQUIRE(test.losses_left == 0);
  CHECK(is_known());
}

}  // namespace jacinth::entry
