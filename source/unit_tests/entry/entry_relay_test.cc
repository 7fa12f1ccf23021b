#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

std::string SettingsText() {
  std::string text =
      "retry_budget_percent = 100\n" + test::ServiceSettingsText();
  text +=
      "[service/s/endpoint/c]\naddress = 127.0.0.1:13\nregion = west\n"
      "failure_domain = west-a\n"
      "[route/once]\nhost = h\npath_prefix = /\nservice = s\n"
      "execution = single_attempt\nrequest_timeout_ms = 2000\n";
  return text;
}

protocol::EntryStatus MakeMember(const std::string& id,
                                 const std::string& region) {
  protocol::EntryStatus member;
  member.id = id;
  member.region = region;
  member.address = "10.0.0.1:" + id;
  return member;
}

void SetMembers(EntryDriver& driver,
                std::vector<protocol::EntryStatus> members) {
  static std::uint64_t version = 1'000;
  driver.AdvanceTime(120ms);
  protocol::HeartbeatReply reply;
  reply.sequence = driver.last_heartbeat.sequence;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.members.version = ++version;
  reply.members.entries = std::move(members);
  driver.Step(MessageReceived{"c1", reply});
}

/// Sends a request that may run once only.
RequestTicket SendOnce(EntryDriver& driver, bool relayed = false) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/x";
  arrival.relayed = relayed;
  driver.Step(arrival);
  return arrival.ticket;
}

/// Ends all probes of the links.
void EndProbes(EntryDriver& driver, forwarding::LinkProbeEnd end) {
  const auto probes = driver.probes;
  driver.probes.clear();
  for (const StartProbe& probe : probes) {
    if (!probe.tests_links)
      continue;
    driver.Step(ProbeEnded{probe.service, probe.endpoint,
                           forwarding::ProbeEnd::kFailed, end,
                           /*tests_links=*/true});
  }
}

/// Fails attempts and probes until the links are known to be lost.
void LoseLinks(EntryDriver& driver) {
  std::size_t failed = 0;
  for (int i = 0; i < 12; ++i) {
    driver.SendRequest("GET", "/x");
    for (; failed < driver.attempts.size(); ++failed)
      driver.EndAttempt(driver.attempts[failed], AttemptEnd::kNotConnected);
  }
  driver.AdvanceTime(20ms);
  EndProbes(driver, forwarding::LinkProbeEnd::kNoResponse);
  REQUIRE(driver.snapshot->self.isolated);
  const auto relays = driver.relays;
  for (const StartRelay& relay : relays)
    driver.Step(RelayEnded{relay.ticket, AttemptEnd::kAnswered});
  REQUIRE(driver.node.active_requests() == 0);
  driver.attempts.clear();
  driver.relays.clear();
  driver.cancellations.clear();
}

EntryDriver MakeIsolatedDriver() {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                      MakeMember("e3", "east")});
  LoseLinks(driver);
  return driver;
}

void EndRelay(EntryDriver& driver, const StartRelay& relay, AttemptEnd end) {
  driver.Step(RelayEnded{relay.ticket, end});
}

}  // namespace

// Guards against failing callers while other entries could serve them
// (docs/incidents/recover.md).
TEST_CASE("An entry that reaches no endpoint hands its requests to others") {
  EntryDriver driver = MakeIsolatedDriver();
  const RequestTicket ticket = SendOnce(driver);
  CHECK(driver.attempts.empty());
  REQUIRE(driver.relays.size() == 1);
  CHECK(driver.relays[0].ticket == ticket);
  CHECK(driver.relays[0].entry != "e1");
  CHECK(driver.relays[0].timeout <= 2s);
  EndRelay(driver, driver.relays[0], AttemptEnd::kAnswered);
  REQUIRE(driver.answers.count(ticket) == 1);
  CHECK(std::holds_alternative<RelayedAnswer>(driver.answers[ticket].body));
  SECTION("and says so with its heartbeats, until a probe connects") {
    driver.AdvanceTime(120ms);
    CHECK(driver.last_heartbeat.status.isolated);
    REQUIRE(driver.snapshot);
    CHECK(driver.snapshot->self.isolated);
    driver.probes.clear();
    driver.AdvanceTime(600ms);
    REQUIRE_FALSE(driver.probes.empty());
    driver.Step(ProbeEnded{"s", driver.probes[0].endpoint,
                           forwarding::ProbeEnd::kHealthy,
                           forwarding::LinkProbeEnd::kConnected,
                           /*tests_links=*/true});
    driver.AdvanceTime(120ms);
    CHECK_FALSE(driver.last_heartbeat.status.isolated);
    // The endpoints are neither ejected nor cold.
    for (int i = 0; i < 6; ++i)
      SendOnce(driver);
    CHECK(driver.attempts.size() == 6);
  }
}

TEST_CASE(
    "A request that another entry has certainly not run goes to the next "
    "one") {
  EntryDriver driver = MakeIsolatedDriver();
  const auto end = GENERATE(AttemptEnd::kNotConnected, AttemptEnd::kRefused);
  const RequestTicket ticket = SendOnce(driver);
  EndRelay(driver, driver.relays.at(0), end);
  REQUIRE(driver.relays.size() == 2);
  CHECK(driver.relays[1].entry != driver.relays[0].entry);
  EndRelay(driver, driver.relays[1], end);
  CHECK(driver.relays.size() == 2);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(driver.FindRefusal(ticket)->retry_after > Duration{0});
  // Both entries are left alone for a moment, so that the next request is
  // refused at once.
  const RequestTicket next = SendOnce(driver);
  CHECK(driver.relays.size() == 2);
  REQUIRE(driver.FindRefusal(next) != nullptr);
  CHECK(driver.FindRefusal(next)->error.kind == ErrorKind::kNoEndpoint);
}

// Guards against running a request twice.
TEST_CASE("A request that another entry may have run is not handed on") {
  EntryDriver driver = MakeIsolatedDriver();
  const RequestTicket ticket = SendOnce(driver);
  EndRelay(driver, driver.relays.at(0),
           GENERATE(AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
                    AttemptEnd::kAnswerIncomplete));
  CHECK(driver.relays.size() == 1);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
}

// Guards against requests that go round between isolated entries.
TEST_CASE("A request from another entry is not handed to a third") {
  EntryDriver driver = MakeIsolatedDriver();
  const RequestTicket ticket = SendOnce(driver, /*relayed=*/true);
  CHECK(driver.relays.empty());
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->error.kind == ErrorKind::kNoEndpoint);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(IsEntryUnavailable(ErrorKind::kNoEndpoint));
  CHECK_FALSE(IsEntryUnavailable(ErrorKind::kOverloaded));
}

TEST_CASE("Requests are not handed to entries that are isolated, too") {
  EntryDriver driver = MakeIsolatedDriver();
  protocol::EntryStatus near = MakeMember("e2", "west");
  near.isolated = true;
  SetMembers(driver,
             {MakeMember("e1", "west"), near, MakeMember("e3", "east")});
  SendOnce(driver);
  REQUIRE(driver.relays.size() == 1);
  CHECK(driver.relays[0].entry == "e3");
}

// Guards against passing a request on to a region that may not handle it.
TEST_CASE("Requests are handed to entries in the allowed regions only") {
  EntryDriver driver = MakeIsolatedDriver();
  const auto set_regions = [&](const std::string& regions) {
    driver.ApplySettings(SettingsText() + "regions = " + regions + "\n");
    SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                        MakeMember("e3", "east"), MakeMember("e4", "north")});
  };
  SECTION("also if too few entries of the own region can be used") {
    set_regions("north");
    for (int i = 0; i < 20; ++i)
      SendOnce(driver);
    REQUIRE(driver.relays.size() == 20);
    for (const StartRelay& relay : driver.relays)
      CHECK(relay.entry == "e4");
  }
  SECTION("and refused if there is no entry") {
    set_regions("south");
    const RequestTicket ticket = SendOnce(driver);
    CHECK(driver.relays.empty());
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  }
}

// Guards against handing requests to entries in regions that their route
// doesn't allow any more (docs/incidents/home.md).
TEST_CASE("A hand-over is repeated by the newest regions of the route") {
  EntryDriver driver = MakeIsolatedDriver();
  const auto set_regions = [&](const std::string& regions) {
    driver.ApplySettings(SettingsText() + "regions = " + regions + "\n");
    SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                        MakeMember("e3", "west"), MakeMember("e4", "east")});
  };
  set_regions("west");
  const RequestTicket ticket = SendOnce(driver);
  REQUIRE(driver.relays.size() == 1);
  REQUIRE(driver.relays[0].entry != "e4");
  SECTION("which are others") {
    set_regions("east");
    EndRelay(driver, driver.relays[0], AttemptEnd::kRefused);
    REQUIRE(driver.relays.size() == 2);
    CHECK(driver.relays[1].entry == "e4");
  }
  SECTION("or ends if no entry is in them") {
    set_regions("north");
    EndRelay(driver, driver.relays[0], AttemptEnd::kRefused);
    CHECK(driver.relays.size() == 1);
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  }
}

// Guards against decisions by older settings than those of the entry that a
// request was sent to (docs/incidents/home.md).
TEST_CASE("A hand-over is refused by an entry with older settings") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  driver.AdvanceTime(120ms);
  driver.AnswerHeartbeat();
  RequestArrived arrival;
  arrival.ticket = 1;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/x";
  arrival.relayed = true;
  SECTION("as not ready and not run") {
    arrival.relay_revision = driver.revision + 1;
    driver.Step(arrival);
    CHECK(driver.attempts.empty());
    REQUIRE(driver.FindRefusal(1) != nullptr);
    CHECK(driver.FindRefusal(1)->error.kind == ErrorKind::kNotReady);
    CHECK(driver.FindRefusal(1)->outcome == Outcome::kNotRun);
  }
  SECTION("but not while no leader can send it newer ones") {
    arrival.relay_revision = driver.revision + 1;
    driver.AdvanceTime(1'200ms);
    driver.Step(arrival);
    CHECK(driver.attempts.size() == 1);
  }
  SECTION("but not by one with the same or newer ones") {
    arrival.relay_revision = GENERATE(0, 1);
    driver.Step(arrival);
    CHECK(driver.attempts.size() == 1);
    driver.ApplySettings(SettingsText());
    arrival.ticket = 2;
    driver.Step(arrival);
    CHECK(driver.attempts.size() == 2);
  }
}

// Guards against hand-overs that another entry decides by older settings
// (docs/incidents/home.md).
TEST_CASE("A hand-over names the revision of the settings") {
  EntryDriver driver = MakeIsolatedDriver();
  driver.ApplySettings(SettingsText());
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                      MakeMember("e3", "east")});
  SendOnce(driver);
  REQUIRE(driver.relays.size() == 1);
  CHECK(driver.relays[0].revision == driver.revision);
}

// Guards against refusing callers for seconds because the other entries got new
// settings a moment later than this one.
TEST_CASE("An entry that refused for its older settings is asked again") {
  EntryDriver driver = MakeIsolatedDriver();
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west")});
  const bool has_older_settings = GENERATE(true, false);
  const RequestTicket first = SendOnce(driver);
  REQUIRE(driver.relays.size() == 1);
  driver.Step(RelayEnded{first, AttemptEnd::kRefused, 0, has_older_settings});
  // The same request isn't sent there twice.
  CHECK(driver.relays.size() == 1);
  REQUIRE(driver.FindRefusal(first) != nullptr);
  CHECK(driver.FindRefusal(first)->outcome == Outcome::kNotRun);
  SendOnce(driver);
  CHECK(driver.relays.size() == (has_older_settings ? 2 : 1));
}

// Guards against sending requests to an entry that an operator has drained.
TEST_CASE("Requests are not handed to drained entries") {
  EntryDriver driver = MakeIsolatedDriver();
  driver.ApplySettings(SettingsText() + "[entry/e2]\ndrain = true\n");
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                      MakeMember("e3", "east")});
  for (int i = 0; i < 20; ++i)
    SendOnce(driver);
  REQUIRE(driver.relays.size() == 20);
  for (const StartRelay& relay : driver.relays)
    CHECK(relay.entry == "e3");
}

// Guards against retries that exceed the budget of the whole fleet because two
// entries count the same request.
TEST_CASE("Requests from other entries add nothing to the retry budget") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  std::size_t failed = 0;
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.service = "s";
    arrival.method = "GET";
    arrival.path = "/x";
    arrival.relayed = true;
    driver.Step(arrival);
    for (; failed < driver.attempts.size(); ++failed)
      driver.EndAttempt(driver.attempts[failed], AttemptEnd::kAnsweredFailure);
  }
  // The reserve of an entry that has no requests of its own.
  constexpr int kReserve = 10;
  CHECK(driver.attempts.size() <= kRequests + kReserve);
}

// Guards against holding requests until their deadline although their answers
// can't arrive (docs/incidents/recover.md).
TEST_CASE(
    "Repeatable requests under way are handed over when the links fall "
    "silent") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west")});
  std::vector<RequestTicket> repeatable;
  repeatable.reserve(3);
  for (int i = 0; i < 3; ++i)
    repeatable.push_back(driver.SendRequest("GET", "/x"));
  const RequestTicket once = SendOnce(driver);
  driver.AdvanceTime(1'100ms);
  const bool refused = GENERATE(true, false);
  EndProbes(driver, refused ? forwarding::LinkProbeEnd::kRefused
                            : forwarding::LinkProbeEnd::kSilent);
  REQUIRE(driver.snapshot->self.isolated);
  // Open connections may live on while new ones are refused.
  if (refused) {
    CHECK(driver.relays.empty());
    CHECK(driver.cancellations.empty());
    return;
  }
  CHECK(driver.dropped_idle_connections);
  REQUIRE(driver.relays.size() == repeatable.size());
  CHECK(driver.cancellations.size() == repeatable.size());
  for (const StartRelay& relay : driver.relays) {
    CHECK(relay.ticket != once);
    EndRelay(driver, relay, AttemptEnd::kAnswered);
    CHECK(driver.answers.count(relay.ticket) == 1);
  }
  CHECK(driver.node.active_requests() == 1);
}

// Guards against holding callers until their deadline for answers that can't
// arrive, when there are more of them than the retry budget allows to hand
// over.
TEST_CASE(
    "Repeatable requests under way that can't be handed over end when the "
    "links fall silent") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  std::vector<RequestTicket> repeatable;
  repeatable.reserve(3);
  for (int i = 0; i < 3; ++i)
    repeatable.push_back(driver.SendRequest("GET", "/x"));
  const RequestTicket once = SendOnce(driver);
  // There is no other entry.
  driver.AdvanceTime(1'100ms);
  EndProbes(driver, forwarding::LinkProbeEnd::kSilent);
  REQUIRE(driver.snapshot->self.isolated);
  CHECK(driver.relays.empty());
  CHECK(driver.cancellations.size() == repeatable.size());
  for (const RequestTicket ticket : repeatable) {
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->outcome == Outcome::kUnknown);
  }
  // It may not run again, and its answer may still arrive.
  CHECK(driver.answers.count(once) == 0);
}

// Guards against a quiet entry that notices silent links only when its requests
// have gone to several endpoints in turn, each until it was put aside
// (docs/incidents/recover.md).
TEST_CASE("A single request shows that the links fell silent") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west")});
  const RequestTicket ticket = driver.SendRequest("GET", "/x");
  driver.AdvanceTime(1'100ms);
  SECTION("if no other endpoint responds") {
    EndProbes(driver, forwarding::LinkProbeEnd::kSilent);
    REQUIRE(driver.snapshot->self.isolated);
    REQUIRE(driver.relays.size() == 1);
    CHECK(driver.relays[0].ticket == ticket);
  }
  SECTION("unless others respond") {
    REQUIRE_FALSE(driver.probes.empty());
    EndProbes(driver, forwarding::LinkProbeEnd::kConnected);
    CHECK_FALSE(driver.snapshot->self.isolated);
    driver.AdvanceTime(800ms);
    CHECK(driver.probes.empty());
    CHECK(driver.relays.empty());
    CHECK(driver.node.active_requests() == 1);
  }
}

TEST_CASE("A relay ends when its caller leaves") {
  EntryDriver driver = MakeIsolatedDriver();
  const RequestTicket ticket = SendOnce(driver);
  driver.Step(RequestAbandoned{ticket});
  REQUIRE(driver.cancellations.size() == 1);
  CHECK(driver.cancellations[0].ticket == ticket);
  CHECK(driver.node.active_requests() == 0);
}

// Guards against refusing requests before the loss of the links is known.
TEST_CASE(
    "A request whose connections are refused is handed to another entry") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west")});
  const bool refused = GENERATE(true, false);
  SendOnce(driver);
  for (std::size_t i = 0; i < driver.attempts.size(); ++i) {
    AttemptEnded ended;
    ended.ticket = driver.attempts[i].ticket;
    ended.end = AttemptEnd::kNotConnected;
    ended.connection_refused = refused;
    driver.Step(ended);
  }
  // Connections that time out may be due to overloaded links, to which a relay
  // would add.
  if (!refused) {
    CHECK(driver.relays.empty());
    return;
  }
  REQUIRE(driver.relays.size() == 1);
  CHECK(driver.relays[0].entry == "e2");
}

// Guards against callers that stay where the isolated entries sent them, and
// overload these entries long after.
TEST_CASE("When isolated entries return, part of the callers connect anew") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  std::vector<protocol::EntryStatus> members = {
      MakeMember("e1", "west"), MakeMember("e2", "west"),
      MakeMember("e3", "west"), MakeMember("e4", "east")};
  members[1].isolated = true;
  members[2].isolated = true;
  SetMembers(driver, members);
  CHECK(driver.recycled_connections == 0);
  members[1].isolated = false;
  members[2].isolated = false;
  SetMembers(driver, members);
  CHECK(driver.recycled_connections == 0.5);
  SetMembers(driver, members);
  CHECK(driver.recycled_connections == 0.5);
}

TEST_CASE("Requests stay in the region while enough entries there are usable") {
  EntryDriver driver = MakeIsolatedDriver();
  SetMembers(driver, {MakeMember("e1", "west"), MakeMember("e2", "west"),
                      MakeMember("e4", "west"), MakeMember("e3", "east")});
  for (int i = 0; i < 20; ++i)
    SendOnce(driver);
  REQUIRE(driver.relays.size() == 20);
  for (const StartRelay& relay : driver.relays)
    CHECK(relay.entry != "e3");
}

}  // namespace jacinth::entry
