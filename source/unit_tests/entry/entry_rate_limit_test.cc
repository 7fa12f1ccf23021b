#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Settings of a route with an objective, so that requests wait only shortly
/// for an endpoint, and of its service with two endpoints.
std::string SettingsText() {
  return "[route/read]\nhost = h\npath_prefix = /\nservice = s\n"
         "execution = repeatable\nobjective_ms = 400\n"
         "request_timeout_ms = 2000\n" +
         test::ServiceSettingsText();
}

RequestTicket SendRead(EntryDriver& driver) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = "/x";
  driver.Step(arrival);
  return arrival.ticket;
}

void AnswerWithLimit(EntryDriver& driver,
                     const StartAttempt& attempt,
                     std::optional<double> per_second,
                     AttemptEnd end = AttemptEnd::kAnswered) {
  AttemptEnded ended;
  ended.ticket = attempt.ticket;
  ended.end = end;
  ended.answer = {200, "text/plain", "answer", false};
  ended.rate_limit = forwarding::RateLimitNotice{per_second};
  driver.Step(ended);
}

/// Sends requests at 50 per second for `duration` and answers each attempt
/// after one step. Returns the number of attempts.
std::size_t SendSteadily(EntryDriver& driver,
                         Duration duration,
                         std::optional<double> per_second) {
  const std::size_t before = driver.attempts.size();
  std::size_t answered = before;
  const Time end = driver.now + duration;
  while (driver.now < end) {
    SendRead(driver);
    driver.AdvanceTime(20ms);
    while (answered < driver.attempts.size())
      AnswerWithLimit(driver, driver.attempts[answered++], per_second);
    if (driver.last_heartbeat.sequence % 3 == 0)
      driver.AnswerHeartbeat();
  }
  return driver.attempts.size() - before;
}

std::size_t CountRefusals(const EntryDriver& driver) {
  std::size_t count = 0;
  for (const auto& [ticket, answer] : driver.answers)
    count += std::holds_alternative<RefuseRequest>(answer.body) ? 1 : 0;
  return count;
}

}  // namespace

// Guards against sending an endpoint more requests than the limit that it names
// (docs/incidents/limit.md).
TEST_CASE("Requests beyond the endpoints' rate limits are refused at once") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  constexpr double kLimit = 5;
  SendSteadily(driver, 1s, kLimit);
  const RequestTicket first = driver.last_ticket + 1;
  const std::size_t sent = SendSteadily(driver, 4s, kLimit);
  // Two endpoints; see LIMIT in the users' rules for the bound of each.
  CHECK(sent <= 2 * (1.5 * kLimit * 4 + 5));
  CHECK(sent > 0);
  std::size_t refused = 0;
  for (RequestTicket ticket = first; ticket <= driver.last_ticket; ++ticket) {
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    if (refusal == nullptr)
      continue;
    ++refused;
    CHECK(refusal->error.kind == ErrorKind::kOverloaded);
    CHECK(refusal->outcome == Outcome::kNotRun);
    CHECK(refusal->retry_after > Duration{0});
  }
  // At most a few requests wait for their turn at the end.
  CHECK(refused + sent + 4 >= driver.last_ticket - first + 1);
}

// Guards against holding callers until their deadline whom a limit that was
// named while they waited keeps out.
TEST_CASE(
    "Waiting requests that a new rate limit keeps out are refused at once") {
  EntryDriver driver;
  driver.ApplySettings(test::ServiceSettingsText());
  std::vector<RequestTicket> waiting;
  for (int i = 0; i < 40; ++i) {
    const RequestTicket ticket = driver.SendRequest("GET", "/x");
    const bool started =
        !driver.attempts.empty() && driver.attempts.back().ticket == ticket;
    if (!started && driver.FindRefusal(ticket) == nullptr)
      waiting.push_back(ticket);
  }
  REQUIRE(waiting.size() >= 4);
  constexpr double kLimit = 0.5;
  const std::size_t started = driver.attempts.size();
  for (std::size_t i = 0; i < started; ++i)
    AnswerWithLimit(driver, driver.attempts[i], kLimit);
  driver.AdvanceTime(20ms);
  std::size_t held = 0;
  for (const RequestTicket ticket : waiting) {
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    const bool refused = refusal != nullptr;
    held += refused || driver.WasForwarded(ticket) ? 0 : 1;
    if (!refused)
      continue;
    CHECK(refusal->outcome == Outcome::kNotRun);
    CHECK(refusal->retry_after > Duration{0});
  }
  // Two endpoints can take two requests in the time limit of 2 s, and the
  // attempts that started before the limit was named.
  CHECK(held <= 2 + driver.attempts.size() - started);
}

// Guards against refusing urgent callers because less urgent ones wait for what
// a rate limit leaves.
TEST_CASE("Less urgent requests that wait under a rate limit make room") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText() +
                       "[service/s/kind/batch]\npath_prefix = /\n"
                       "method = PUT\nrepeatable = true\n"
                       "rank = background\n");
  SendSteadily(driver, 1s, 5.0);
  while (driver.FindRefusal(driver.SendRequest("PUT", "/x")) == nullptr) {
  }
  const std::size_t refused = CountRefusals(driver);
  const RequestTicket urgent = driver.SendRequest("GET", "/x");
  CHECK(driver.FindRefusal(urgent) == nullptr);
  CHECK(CountRefusals(driver) == refused + 1);
}

// Guards against treating the refusals of an endpoint that is in need as its
// failure, which would move its objects to endpoints that are cold for them.
TEST_CASE("An endpoint with a rate limit is not ejected for its refusals") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SendSteadily(driver, 500ms, 20.0);
  for (int i = 0; i < 20; ++i) {
    SendRead(driver);
    AttemptEnded ended;
    ended.ticket = driver.attempts.back().ticket;
    ended.end = AttemptEnd::kRefused;
    ended.load = forwarding::LoadReport{0, 0, 2};
    ended.rate_limit = forwarding::RateLimitNotice{20.0};
    driver.Step(ended);
    driver.AdvanceTime(200ms);
    driver.AnswerHeartbeat();
  }
  const std::size_t before = driver.attempts.size();
  CHECK(SendSteadily(driver, 1s, 20.0) > 0);
  CHECK(driver.attempts.size() > before);
}

TEST_CASE("A rate limit ends with the first answer that names none") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SendSteadily(driver, 1s, 5.0);
  CHECK(SendSteadily(driver, 10s, std::nullopt) > 200);
  CHECK(SendSteadily(driver, 1s, std::nullopt) == 50);
}

TEST_CASE(
    "A rate limit is reported with the next heartbeat, and once more to "
    "a new leader") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SendRead(driver);
  AnswerWithLimit(driver, driver.attempts.back(), 2.5);
  driver.TakeMessages<protocol::Heartbeat>();
  driver.AdvanceTime(60ms);
  const auto heartbeats = driver.TakeMessages<protocol::Heartbeat>();
  REQUIRE_FALSE(heartbeats.empty());
  REQUIRE(heartbeats.back().rate_limits.size() == 1);
  const protocol::RateLimitReport& report =
      heartbeats.back().rate_limits.front();
  CHECK(report.limit_per_s == 2.5);
  CHECK(report.was_told);
  CHECK(report.key.service == "s");
  const auto send_shares = [&](std::uint64_t version) {
    protocol::HeartbeatReply reply;
    reply.sequence = driver.last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.rate_shares.version = version;
    reply.rate_shares.shares = {{report.key, report.started_ms, 2.5, 1.0}};
    driver.Step(MessageReceived{"c1", reply});
  };
  send_shares((1ULL << 32U) + 1);
  driver.AdvanceTime(200ms);
  driver.TakeMessages<protocol::Heartbeat>();
  send_shares((2ULL << 32U) + 1);
  driver.AdvanceTime(120ms);
  bool reported = false;
  for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>())
    reported |= !heartbeat.rate_limits.empty();
  CHECK(reported);
}

// Guards against an endpoint that stays limited here after it has told another
// entry that its limit is over.
TEST_CASE("A rate limit that the leader does not confirm is forgotten") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  SendSteadily(driver, 1s, 1.0);
  const auto answer_without_limits = [&] {
    protocol::HeartbeatReply reply;
    reply.sequence = driver.last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.rate_shares.version = (1ULL << 32U) + 1;
    driver.Step(MessageReceived{"c1", reply});
  };
  answer_without_limits();
  driver.AdvanceTime(200ms);
  answer_without_limits();
  for (int i = 0; i < 8; ++i)
    SendRead(driver);
  CHECK(driver.FindRefusal(driver.last_ticket) == nullptr);
}

}  // namespace jacinth::entry
