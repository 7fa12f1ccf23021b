#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Services `s` and `t` with one endpoint each, and the routes `/a/` and `/b/`,
/// which lead to the services given.
std::string SettingsText(const std::string& a,
                         const std::string& b,
                         int slots) {
  std::string text = "retry_budget_percent = 100\n";
  for (const std::string name : {"s", "t"}) {
    const std::string port = name == "s" ? "11" : "12";
    text += "[service/" + name + "]\nslots = " + std::to_string(slots) +
            "\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
            "[service/" +
            name + "/endpoint/" + name + "1]\naddress = 127.0.0.1:" + port +
            "\nregion = west\nfailure_domain = west-a\n";
  }
  for (const auto& [route, service] : {std::pair("a", a), std::pair("b", b)}) {
    text += std::string("[route/") + route + "]\nhost = h\npath_prefix = /" +
            route + "/\nservice = " + service +
            "\nexecution = single_attempt\nrequest_timeout_ms = 8000\n"
            "objective_ms = 0\nqueue_limit = 2\n";
  }
  return text;
}

RequestTicket SendRequest(EntryDriver& driver, const std::string& route) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "POST";
  arrival.path = "/" + route + "/x";
  driver.Step(arrival);
  return arrival.ticket;
}

/// Ends an attempt with a refusal of an endpoint that is busy with requests of
/// other entries.
void RefuseAsBusy(EntryDriver& driver, const StartAttempt& attempt) {
  AttemptEnded ended;
  ended.ticket = attempt.ticket;
  ended.end = AttemptEnd::kRefused;
  ended.load = forwarding::LoadReport{.running = 2, .waiting = 2, .slots = 2};
  driver.Step(ended);
}

/// Ends an attempt with a refusal that asks to wait.
void AskToWait(EntryDriver& driver,
               const StartAttempt& attempt,
               Duration wait) {
  AttemptEnded ended;
  ended.ticket = attempt.ticket;
  ended.end = AttemptEnd::kRefused;
  ended.notices.wait = wait;
  driver.Step(ended);
}

/// Exchanges the services of the routes, without a tick before, as after a
/// suspension of the process.
void SwapRoutes(EntryDriver& driver, int slots) {
  driver.settings_text = SettingsText("t", "s", slots);
  ++driver.revision;
  driver.AnswerHeartbeat();
}

std::vector<std::string> EndpointsTried(const EntryDriver& driver,
                                        RequestTicket ticket,
                                        std::size_t first) {
  std::vector<std::string> endpoints;
  for (std::size_t i = first; i < driver.attempts.size(); ++i) {
    if (driver.attempts[i].ticket == ticket)
      endpoints.push_back(driver.attempts[i].endpoint);
  }
  return endpoints;
}

}  // namespace

// Guards against a request that runs at the old and at the new service of its
// route, because another one that moves is dispatched before it
// (docs/incidents/swapped-routes.md).
TEST_CASE("Requests of routes that swap services are sent once, to the new") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s", "t", /*slots=*/2));
  const RequestTicket a = SendRequest(driver, "a");
  const RequestTicket b = SendRequest(driver, "b");
  REQUIRE(driver.attempts.size() == 2);
  RefuseAsBusy(driver, driver.attempts[0]);
  RefuseAsBusy(driver, driver.attempts[1]);
  REQUIRE(driver.attempts.size() == 2);
  REQUIRE(driver.answers.empty());
  // The reports no longer count for much by then.
  driver.now += 3500ms;
  SwapRoutes(driver, /*slots=*/2);
  CHECK(EndpointsTried(driver, a, 2) == std::vector<std::string>{"t1"});
  CHECK(EndpointsTried(driver, b, 2) == std::vector<std::string>{"s1"});
  for (std::size_t i = 2; i < driver.attempts.size(); ++i)
    driver.EndAttempt(driver.attempts[i], AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(a));
  CHECK(driver.WasForwarded(b));
  CHECK(driver.node.active_requests() == 0);
}

// Guards against an entry that aborts with all its requests, because a request
// of the list of those that move is refused while the first one moves
// (docs/incidents/swapped-routes.md).
TEST_CASE("A request that is refused while another one moves ends once") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s", "t", /*slots=*/1));
  std::vector<RequestTicket> tickets;
  for (int i = 0; i < 3; ++i) {
    tickets.push_back(SendRequest(driver, "a"));
    tickets.push_back(SendRequest(driver, "b"));
  }
  REQUIRE(driver.attempts.size() == 2);
  AskToWait(driver, driver.attempts[0], 7s);
  AskToWait(driver, driver.attempts[1], 7s);
  driver.now += 100ms;
  SwapRoutes(driver, /*slots=*/1);
  driver.AdvanceTime(7s);
  for (std::size_t i = 2; i < driver.attempts.size(); ++i)
    driver.EndAttempt(driver.attempts[i], AttemptEnd::kAnswered);
  for (const RequestTicket ticket : tickets) {
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    const std::vector<std::string> tried = EndpointsTried(driver, ticket, 2);
    if (refusal == nullptr) {
      CHECK(driver.WasForwarded(ticket));
      CHECK(tried.size() == 1);
      continue;
    }
    CHECK(refusal->outcome == Outcome::kNotRun);
    CHECK(tried.empty());
  }
  CHECK(driver.node.active_requests() == 0);
}

// Guards against a request that is sent to the old service of its route as a
// message that moves the route also brings its endpoints' rate limits.
TEST_CASE("A message with shares and settings sends by the new settings") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText("s", "t", /*slots=*/1));
  const RequestTicket first = SendRequest(driver, "a");
  REQUIRE(driver.attempts.size() == 1);
  AttemptEnded ended;
  ended.ticket = first;
  ended.end = AttemptEnd::kAnswered;
  ended.rate_limit = forwarding::RateLimitNotice{2.0};
  driver.Step(ended);
  driver.AdvanceTime(100ms);
  REQUIRE(driver.last_heartbeat.rate_limits.size() == 1);
  const protocol::RateLimitReport report =
      driver.last_heartbeat.rate_limits.front();
  const RequestTicket waiting = SendRequest(driver, "a");
  REQUIRE(driver.attempts.size() == 1);
  REQUIRE(driver.answers.count(waiting) == 0);
  // The limit leaves room for the next request by then.
  driver.now += 5s;
  protocol::HeartbeatReply reply;
  reply.sequence = driver.last_heartbeat.sequence;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.revision = ++driver.revision;
  driver.settings_text = SettingsText("t", "s", /*slots=*/1);
  reply.update = {
      driver.revision, driver.settings_text, Hash64(driver.settings_text), {}};
  reply.members.version = driver.revision;
  reply.members.entries = {driver.last_heartbeat.status};
  reply.rate_shares.version = (1ULL << 32U) + 1;
  reply.rate_shares.shares = {{report.key, report.started_ms, 2.0, 1.0}};
  driver.Step(MessageReceived{"c1", reply});
  CHECK(EndpointsTried(driver, waiting, 1) == std::vector<std::string>{"t1"});
}

}  // namespace jacinth::entry
