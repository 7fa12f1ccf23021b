#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Route `/a/` to service `s`, which has endpoints in two regions.
std::string SettingsText(const std::string& regions,
                         const std::string& more_settings = "") {
  return "retry_budget_percent = 100\n"
         "[service/s]\nslots = 9\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
         "[service/s/endpoint/near]\naddress = 127.0.0.1:11\nregion = west\n"
         "failure_domain = west-a\n"
         "[service/s/endpoint/far]\naddress = 127.0.0.1:12\nregion = east\n"
         "failure_domain = east-a\n"
         "[route/a]\nhost = h\npath_prefix = /a/\nservice = s\n"
         "execution = single_attempt\nrequest_timeout_ms = 2000\n"
         "regions = " +
         regions + "\n" + more_settings;
}

EntryDriver MakeEntry(const std::string& id, const std::string& region) {
  entry::EntryOptions options = EntryDriver::DefaultOptions();
  options.self.id = id;
  options.self.region = region;
  options.self.address = "10.0.0.1:" + id;
  return EntryDriver(options);
}

/// Makes an entry, whose connections to endpoints are refused, hand a request
/// to another one.
StartRelay HandOver(EntryDriver& driver, const std::string& region) {
  static std::uint64_t version = 1'000;
  driver.AdvanceTime(120ms);
  protocol::HeartbeatReply reply;
  reply.sequence = driver.last_heartbeat.sequence;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.members.version = ++version;
  protocol::EntryStatus other;
  other.id = "e2";
  other.region = region;
  other.address = "10.0.0.1:e2";
  reply.members.entries = {driver.last_heartbeat.status, other};
  driver.Step(MessageReceived{"c1", reply});
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/a/x";
  driver.Step(arrival);
  for (std::size_t i = 0; i < driver.attempts.size(); ++i) {
    AttemptEnded ended;
    ended.ticket = driver.attempts[i].ticket;
    ended.end = AttemptEnd::kNotConnected;
    ended.connection_refused = true;
    driver.Step(ended);
  }
  REQUIRE(driver.relays.size() == 1);
  return driver.relays[0];
}

/// Passes a request that was handed over to the other entry.
void Receive(EntryDriver& driver, const StartRelay& relay) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/a/x";
  arrival.relayed = true;
  arrival.relay_revision = relay.revision;
  arrival.relay_decision = relay.decision;
  driver.Step(arrival);
}

}  // namespace

// Guards against hand-overs that an entry out of contact sends to regions which
// the entry that handed them over knows to be forbidden
// (docs/incidents/home.md).
TEST_CASE("A hand-over isn't run by older regions, whoever is in contact") {
  EntryDriver from = MakeEntry("e1", "west");
  EntryDriver to = MakeEntry("e2", "east");
  from.ApplySettings(SettingsText("west"));
  to.ApplySettings(SettingsText("west"));
  from.ApplySettings(SettingsText("east"));
  const bool in_contact = GENERATE(true, false);
  to.AdvanceTime(in_contact ? 120ms : 1'200ms);
  if (in_contact)
    to.AnswerHeartbeat();
  Receive(to, HandOver(from, "east"));
  CHECK(to.attempts.empty());
  REQUIRE(to.FindRefusal(to.last_ticket) != nullptr);
  CHECK(to.FindRefusal(to.last_ticket)->error.kind == ErrorKind::kNotReady);
  CHECK(to.FindRefusal(to.last_ticket)->outcome == Outcome::kNotRun);
}

// Guards against refusing callers beside changes that don't concern their
// routes.
TEST_CASE("A hand-over is run by older settings with the same route") {
  EntryDriver from = MakeEntry("e1", "west");
  EntryDriver to = MakeEntry("e2", "east");
  from.ApplySettings(SettingsText("east"));
  to.ApplySettings(SettingsText("east"));
  from.ApplySettings(
      SettingsText("east",
                   "[route/b]\nhost = h\npath_prefix = /b/\nservice = s\n"
                   "request_timeout_ms = 2000\n"));
  const bool in_contact = GENERATE(true, false);
  to.AdvanceTime(in_contact ? 120ms : 1'200ms);
  if (in_contact)
    to.AnswerHeartbeat();
  Receive(to, HandOver(from, "east"));
  REQUIRE(to.attempts.size() == 1);
  CHECK(to.attempts[0].endpoint == "far");
}

}  // namespace jacinth::entry
