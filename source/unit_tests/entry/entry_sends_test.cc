#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr const char* kNear =
    "[service/s/endpoint/near]\naddress = 127.0.0.1:11\nregion = west\n"
    "failure_domain = west-a\n";

/// Route `/a/` to service `s`, which has endpoints in two regions and no budget
/// for retries.
std::string SettingsText(const std::string& regions,
                         const std::string& near = kNear) {
  return "retry_budget_percent = 0\n"
         "[service/s]\nslots = 9\nttl_ms = 1000\nprobe_interval_ms = 600000\n" +
         near +
         "[service/s/endpoint/far]\naddress = 127.0.0.1:12\nregion = east\n"
         "failure_domain = east-a\n"
         "[route/a]\nhost = h\npath_prefix = /a/\nservice = s\n"
         "execution = single_attempt\nrequest_timeout_ms = 2000\n"
         "regions = " +
         regions + "\n";
}

RequestTicket SendRequest(EntryDriver& driver) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/a/x";
  driver.Step(arrival);
  return arrival.ticket;
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

}  // namespace

// Guards against bytes that leave for an endpoint which the settings have ruled
// out while a connection to it was opened (docs/incidents/home.md).
TEST_CASE("A request isn't sent where newer settings forbid it") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  REQUIRE(driver.attempts[0].endpoint == "near");
  CHECK(driver.node.MaySend(ticket));
  struct Case {
    std::string name;
    std::string text;
  };
  const Case test_case = GENERATE(
      Case{"other regions", SettingsText("east")},
      Case{"a drained endpoint",
           SettingsText("west,east", std::string(kNear) + "drain = true\n")},
      Case{"another address",
           SettingsText("west,east",
                        "[service/s/endpoint/near]\naddress = 127.0.0.1:13\n"
                        "region = east\nfailure_domain = east-a\n")},
      Case{"no such endpoint", SettingsText("west,east", "")});
  CAPTURE(test_case.name);
  driver.ApplySettings(test_case.text);
  CHECK_FALSE(driver.node.MaySend(ticket));
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kWithdrawn);
  // No retry is needed for a request that hasn't left.
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].ticket == ticket);
  CHECK(driver.attempts[1].address != "127.0.0.1:11");
  CHECK(driver.attempts[1].number == 1);
  CHECK(driver.node.MaySend(ticket));
}

// Guards against requests that an old service gets, as their route moved while
// a connection was opened.
TEST_CASE("A request isn't sent to an old service of its route") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  std::string moved = SettingsText("west");
  moved.replace(moved.find("service = s"), 11, "service = t");
  moved +=
      "[service/t]\nprobe_interval_ms = 600000\n"
      "[service/t/endpoint/other]\naddress = 127.0.0.1:14\nregion = west\n"
      "failure_domain = west-a\n";
  driver.ApplySettings(moved);
  CHECK_FALSE(driver.node.MaySend(ticket));
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kWithdrawn);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].endpoint == "other");
  CHECK(driver.node.MaySend(ticket));
}

TEST_CASE("A request is sent where newer settings still allow it") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  driver.ApplySettings(SettingsText("west,east"));
  CHECK(driver.node.MaySend(ticket));
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  CHECK_FALSE(driver.node.MaySend(ticket));
}

// Guards against bodies that are sent to an entry in a region which their route
// doesn't allow any more (docs/incidents/home.md).
TEST_CASE("A request isn't handed over where newer settings forbid it") {
  const std::vector<protocol::EntryStatus> members = {
      MakeMember("e1", "west"), MakeMember("e2", "west"),
      MakeMember("e3", "west"), MakeMember("e4", "east")};
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  SetMembers(driver, members);
  const RequestTicket ticket = SendRequest(driver);
  for (std::size_t i = 0; i < driver.attempts.size(); ++i) {
    AttemptEnded ended;
    ended.ticket = ticket;
    ended.end = AttemptEnd::kNotConnected;
    ended.connection_refused = true;
    driver.Step(ended);
  }
  REQUIRE(driver.relays.size() == 1);
  REQUIRE(driver.relays[0].entry != "e4");
  CHECK(driver.node.MaySend(ticket));
  driver.ApplySettings(SettingsText("east"));
  SetMembers(driver, members);
  CHECK_FALSE(driver.node.MaySend(ticket));
  driver.Step(RelayEnded{ticket, AttemptEnd::kWithdrawn});
  REQUIRE(driver.relays.size() == 2);
  CHECK(driver.relays[1].entry == "e4");
  CHECK(driver.node.MaySend(ticket));
}

// Guards against bodies that are sent to an entry in a region which their route
// doesn't allow any more, as it leads to another service too
// (docs/incidents/home.md).
TEST_CASE("A hand-over follows the regions of a route that has moved") {
  const std::vector<protocol::EntryStatus> members = {
      MakeMember("e1", "west"), MakeMember("e2", "west"),
      MakeMember("e3", "west"), MakeMember("e4", "east")};
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  SetMembers(driver, members);
  const RequestTicket ticket = SendRequest(driver);
  for (std::size_t i = 0; i < driver.attempts.size(); ++i) {
    AttemptEnded ended;
    ended.ticket = ticket;
    ended.end = AttemptEnd::kNotConnected;
    ended.connection_refused = true;
    driver.Step(ended);
  }
  REQUIRE(driver.relays.size() == 1);
  REQUIRE(driver.relays[0].entry != "e4");
  std::string moved = SettingsText("east");
  moved.replace(moved.find("service = s"), 11, "service = t");
  driver.ApplySettings(moved + "[service/t]\nslots = 9\nttl_ms = 1000\n");
  SetMembers(driver, members);
  CHECK_FALSE(driver.node.MaySend(ticket));
  driver.Step(RelayEnded{ticket, AttemptEnd::kWithdrawn});
  REQUIRE(driver.relays.size() == 2);
  CHECK(driver.relays[1].entry == "e4");
  CHECK(driver.node.MaySend(ticket));
}

// Guards against hand-overs that tell of settings which were replaced while a
// connection was opened.
TEST_CASE("A hand-over doesn't leave by a decision that was replaced") {
  const std::vector<protocol::EntryStatus> members = {
      MakeMember("e1", "west"), MakeMember("e2", "west"),
      MakeMember("e3", "west"), MakeMember("e4", "east")};
  EntryDriver driver;
  driver.ApplySettings(SettingsText("west"));
  SetMembers(driver, members);
  const RequestTicket ticket = SendRequest(driver);
  for (std::size_t i = 0; i < driver.attempts.size(); ++i) {
    AttemptEnded ended;
    ended.ticket = ticket;
    ended.end = AttemptEnd::kNotConnected;
    ended.connection_refused = true;
    driver.Step(ended);
  }
  REQUIRE(driver.relays.size() == 1);
  REQUIRE(driver.relays[0].entry != "e4");
  CHECK(driver.node.MaySend(ticket));
  driver.ApplySettings(SettingsText("west,north"));
  SetMembers(driver, members);
  CHECK_FALSE(driver.node.MaySend(ticket));
  driver.Step(RelayEnded{ticket, AttemptEnd::kWithdrawn});
  REQUIRE(driver.relays.size() == 2);
  CHECK(driver.relays[1].decision != driver.relays[0].decision);
  CHECK(driver.node.MaySend(ticket));
}

}  // namespace jacinth::entry
