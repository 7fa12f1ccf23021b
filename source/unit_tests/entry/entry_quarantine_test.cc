#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/quarantine/crash_history.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr int kEndpoints = 12;
constexpr std::uint64_t kDeadly = 13;
constexpr std::uint64_t kHealthy = 14;

/// Settings of a service with many endpoints and a repeatable kind.
std::string SettingsText() {
  std::string text =
      "[service/s]\nslots = 4\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
      "request_timeout_ms = 2000\nmax_attempts = 4\n"
      "[service/s/kind/read]\npath_prefix = /\nmethod = GET\n"
      "repeatable = true\nrank = urgent\n";
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string number = std::to_string(10 + i);
    text += "[service/s/endpoint/i" + number +
            "]\naddress = 127.0.0.1:" + number +
            "\nregion = west\nfailure_domain = west-a\n";
  }
  return text;
}

RequestTicket Send(EntryDriver& driver, std::uint64_t fingerprint) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.service = "s";
  arrival.method = "GET";
  arrival.path = "/x";
  arrival.fingerprint = fingerprint;
  driver.Step(arrival);
  return arrival.ticket;
}

/// Crashes the endpoint of each attempt of a request, until the entry answers
/// it. Returns the number of attempts.
int CrashAttempts(EntryDriver& driver, RequestTicket ticket) {
  int crashes = 0;
  while (driver.answers.count(ticket) == 0 && !driver.attempts.empty() &&
         driver.attempts.back().ticket == ticket) {
    ++crashes;
    driver.AdvanceTime(100ms);
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kConnectionLost);
  }
  return crashes;
}

}  // namespace

// Guards against a request that crashes each endpoint that runs it, again and
// again (docs/incidents/deadly.md).
TEST_CASE("A request that crashes endpoints is sent to three of them at most") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  int crashes = 0;
  RequestTicket last = 0;
  for (int resend = 0; resend < 10; ++resend) {
    last = Send(driver, kDeadly);
    crashes += CrashAttempts(driver, last);
    driver.AdvanceTime(200ms);
  }
  CHECK(crashes == 3);
  const RefuseRequest* refusal = driver.FindRefusal(last);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->outcome == Outcome::kNotRun);
  CHECK(refusal->retry_after > Duration{0});
}

// Guards against a crash that is counted for the process that has started
// meanwhile, so that its own crash by the same request counts for nothing.
TEST_CASE("A crash is that of the process that the request was sent to") {
  EntryDriver driver;
  driver.ApplySettings(
      "[service/s]\nprobe_interval_ms = 600000\n"
      "request_timeout_ms = 2000\nmax_attempts = 1\n"
      "[service/s/kind/read]\npath_prefix = /\nmethod = GET\n"
      "repeatable = true\nrank = urgent\n");
  const auto list = [&](std::int64_t started_ms) {
    protocol::HeartbeatReply reply;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.endpoints.version = static_cast<std::uint64_t>(started_ms);
    reply.endpoints.changed = {
        {"i-1", started_ms, "s", "127.0.0.1:10", "west-a", 4, false, 0}};
    driver.Step(MessageReceived{"c1", reply});
  };
  list(1);
  Send(driver, kDeadly);
  REQUIRE(driver.attempts.size() == 1);
  list(2);
  driver.EndAttempt(driver.attempts.back(), AttemptEnd::kConnectionLost);
  driver.messages.clear();
  driver.AdvanceTime(200ms);
  std::vector<std::uint64_t> crashed;
  for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>()) {
    for (const protocol::CrashReport& report : heartbeat.crashes)
      crashed.push_back(report.endpoint);
  }
  REQUIRE_FALSE(crashed.empty());
  CHECK(crashed.front() == quarantine::EndpointHash("s", "i-1", 1));
}

// Guards against an attempt after the second crash of one request.
TEST_CASE("A request is not sent to a third endpoint after two crashed") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  const RequestTicket ticket = Send(driver, kDeadly);
  CHECK(CrashAttempts(driver, ticket) == 2);
  const RefuseRequest* refusal = driver.FindRefusal(ticket);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->outcome == Outcome::kUnknown);
}

// Guards against healthy requests that lose a retry because they ran beside one
// that crashed their endpoint.
TEST_CASE("Requests beside one that crashes endpoints are retried and served") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  for (int round = 0; round < 6; ++round) {
    const RequestTicket deadly = Send(driver, kDeadly);
    const RequestTicket healthy = Send(driver, kHealthy + round);
    const StartAttempt first = driver.attempts.back();
    REQUIRE(first.ticket == healthy);
    CrashAttempts(driver, deadly);
    driver.EndAttempt(first, AttemptEnd::kConnectionLost);
    REQUIRE(driver.attempts.back().ticket == healthy);
    CHECK(driver.attempts.back().endpoint != first.endpoint);
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
    CHECK(driver.WasForwarded(healthy));
    driver.AdvanceTime(200ms);
  }
}

// Guards against a request that stays blocked although an endpoint answers it.
TEST_CASE("A request that is answered is sent again like any other") {
  EntryDriver driver;
  driver.ApplySettings(SettingsText());
  CrashAttempts(driver, Send(driver, kHealthy));
  for (int round = 0; round < 3; ++round) {
    driver.AdvanceTime(200ms);
    const RequestTicket ticket = Send(driver, kHealthy);
    REQUIRE(driver.attempts.back().ticket == ticket);
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
    CHECK(driver.WasForwarded(ticket));
  }
}

}  // namespace jacinth::entry
