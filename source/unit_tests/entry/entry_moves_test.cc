#include <array>
#include <map>
#include <rapidcheck.h>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Services `s` and `t` with one endpoint and one slot each, and a route `/a/`
/// to `service`.
std::string SettingsText(const std::string& service,
                         const std::string& more_settings = "") {
  std::string text = "retry_budget_percent = 100\n";
  for (const std::string name : {"s", "t"}) {
    const std::string port = name == "s" ? "11" : "12";
    text += "[service/" + name +
            "]\nslots = 1\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
            "[service/" +
            name + "/endpoint/" + name + "1]\naddress = 127.0.0.1:" + port +
            "\nregion = west\n"
            "failure_domain = west-a\n";
  }
  return text + "[route/a]\nhost = h\npath_prefix = /a/\nservice = " + service +
         "\nrequest_timeout_ms = 8000\nattempt_timeout_ms = 4000\n"
         "objective_ms = 0\n" +
         (more_settings.empty() ? "execution = repeatable\n" : more_settings);
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

/// Lets time pass in contact with the leader.
void Pass(EntryDriver& driver, int heartbeats) {
  for (int i = 0; i < heartbeats; ++i) {
    driver.AdvanceTime(100ms);
    driver.AnswerHeartbeat();
  }
}

/// Heartbeats in the longest time in which a change must be in force.
constexpr int kBound = 35;

}  // namespace

// Guards against requests that an old service runs long after their route has
// moved to another one.
TEST_CASE("A request that waits moves with its route") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s"));
  SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  const RequestTicket waiting = SendRequest(driver);
  const RequestTicket next = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  driver.ApplySettings(SettingsText("t"));
  Pass(driver, kBound);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].ticket == waiting);
  CHECK(driver.attempts[1].endpoint == "t1");
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kAnswered);
  REQUIRE(driver.attempts.size() == 3);
  CHECK(driver.attempts[2].ticket == next);
  CHECK(driver.attempts[2].endpoint == "t1");
  driver.EndAttempt(driver.attempts[2], AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(waiting));
  CHECK(driver.WasForwarded(next));
  CHECK(driver.node.active_requests() == 0);
  // The slots and places in the queue of both services are free again.
  for (const std::string service : {"s", "t"}) {
    driver.ApplySettings(SettingsText(service));
    const std::size_t before = driver.attempts.size();
    SendRequest(driver);
    REQUIRE(driver.attempts.size() == before + 1);
    CHECK(driver.attempts.back().endpoint == service + "1");
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
}

TEST_CASE("A request that is tried again moves with its route") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  driver.ApplySettings(SettingsText("t"));
  Pass(driver, kBound);
  SECTION("if it certainly hasn't run") {
    const auto end = GENERATE(AttemptEnd::kRefused, AttemptEnd::kNotConnected,
                              AttemptEnd::kMisdirected, AttemptEnd::kWithdrawn);
    driver.EndAttempt(driver.attempts[0], end);
    REQUIRE(driver.attempts.size() == 2);
    CHECK(driver.attempts[1].ticket == ticket);
    CHECK(driver.attempts[1].endpoint == "t1");
    driver.EndAttempt(driver.attempts[1], AttemptEnd::kAnswered);
    CHECK(driver.WasForwarded(ticket));
  }
  SECTION("or ends if it may have run") {
    driver.EndAttempt(driver.attempts[0], AttemptEnd::kConnectionLost);
    CHECK(driver.attempts.size() == 1);
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
  }
  CHECK(driver.node.active_requests() == 0);
}

// Guards against a request that is tried again at an old service after it has
// waited there, or is promised not to have run.
TEST_CASE("A request that may have run ends when its route moves") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kConnectionLost);
  REQUIRE(driver.attempts.size() == 2);
  driver.settings_text = SettingsText("t");
  SECTION("while it waits") {
    driver.AdvanceTime(100ms);
    driver.EndAttempt(driver.attempts[1], AttemptEnd::kRefused);
    CHECK(driver.answers.count(ticket) == 0);
    ++driver.revision;
    driver.AnswerHeartbeat();
  }
  SECTION("while it is at an endpoint") {
    driver.ApplySettings(driver.settings_text);
    driver.EndAttempt(driver.attempts[1], AttemptEnd::kRefused);
  }
  CHECK(driver.attempts.size() == 2);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
  CHECK(driver.node.active_requests() == 0);
}

// Guards against a request that a connection is opened for and that reaches the
// old service of its route, which has moved and then been removed meanwhile
// (docs/incidents/removed-route.md).
TEST_CASE("A request isn't sent to a service that its removed route had left") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s"));
  const RequestTicket ticket = SendRequest(driver);
  REQUIRE(driver.attempts.size() == 1);
  const bool has_moved = GENERATE(true, false);
  CAPTURE(has_moved);
  if (has_moved)
    driver.ApplySettings(SettingsText("t"));
  const std::string text = SettingsText("s");
  driver.ApplySettings(text.substr(0, text.find("[route/a]")));
  CHECK(driver.node.MaySend(ticket) == !has_moved);
  if (!has_moved)
    return;
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kWithdrawn);
  CHECK(driver.attempts.size() == 1);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(driver.node.active_requests() == 0);
}

TEST_CASE("A request that can't move with its route is refused as not run") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s"));
  SendRequest(driver);
  const RequestTicket waiting = SendRequest(driver);
  SECTION("as the new service has no endpoint") {
    driver.ApplySettings(SettingsText("u") + "[service/u]\nslots = 1\n");
  }
  SECTION("as it would need a key there") {
    driver.ApplySettings(SettingsText("t", "execution = at_most_once\n"));
  }
  REQUIRE(driver.FindRefusal(waiting) != nullptr);
  CHECK(driver.FindRefusal(waiting)->outcome == Outcome::kNotRun);
  CHECK(driver.attempts.size() == 1);
  CHECK(driver.node.active_requests() == 1);
}

// Guards against requests that are lost, answered twice or sent to an old
// service while their route moves to and fro.
TEST_CASE("Property: requests keep to the newest service of their route") {
  const bool passed = rc::check([] {
    constexpr std::array<AttemptEnd, 6> kEnds = {
        AttemptEnd::kAnswered,     AttemptEnd::kRefused,
        AttemptEnd::kNotConnected, AttemptEnd::kWithdrawn,
        AttemptEnd::kTimedOut,     AttemptEnd::kConnectionLost};
    constexpr std::array<const char*, 2> kServices = {"s", "t"};
    EntryDriver driver;
    std::string service;
    std::map<RequestTicket, StartAttempt> open;
    std::size_t checked = 0;
    const auto check_attempts = [&] {
      for (; checked < driver.attempts.size(); ++checked) {
        const StartAttempt& attempt = driver.attempts[checked];
        RC_ASSERT(attempt.endpoint == service + "1");
        RC_ASSERT(driver.answers.count(attempt.ticket) == 0);
        open[attempt.ticket] = attempt;
      }
    };
    const auto move = [&] {
      driver.AdvanceTime(100ms);
      check_attempts();
      service = kServices.at(*rc::gen::inRange<std::size_t>(0, 2));
      driver.settings_text = SettingsText(service);
      ++driver.revision;
      driver.AnswerHeartbeat();
      check_attempts();
    };
    move();
    const int steps = *rc::gen::inRange(5, 80);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          move();
          break;
        case 1:
          if (open.empty())
            break;
          driver.EndAttempt(open.extract(open.begin()).mapped(),
                            kEnds.at(*rc::gen::inRange<std::size_t>(0, 6)));
          break;
        case 2:
          if (*rc::gen::inRange(0, 4) == 0 && driver.last_ticket != 0) {
            open.erase(driver.last_ticket);
            driver.Step(RequestAbandoned{driver.last_ticket});
          }
          break;
        default:
          SendRequest(driver);
      }
      check_attempts();
    }
    // Longer than a request may take.
    for (int heartbeat = 0; heartbeat < 100; ++heartbeat) {
      while (!open.empty()) {
        driver.EndAttempt(open.extract(open.begin()).mapped(),
                          AttemptEnd::kAnswered);
        check_attempts();
      }
      Pass(driver, 1);
      check_attempts();
    }
    RC_ASSERT(open.empty());
    RC_ASSERT(driver.node.active_requests() == 0);
    RC_ASSERT(driver.answers.size() == driver.last_ticket);
  });
  CHECK(passed);
}

}  // namespace jacinth::entry
