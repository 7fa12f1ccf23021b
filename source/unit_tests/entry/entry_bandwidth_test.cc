#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr double kBandwidth = 100'000;
constexpr std::size_t kRequestBytes = 400;
constexpr std::size_t kAnswerBytes = 4'000;

std::string SettingsText() {
  return test::ServiceSettingsText() +
         "[service/s/kind/batch]\npath_prefix = /\nmethod = PUT\n"
         "repeatable = true\nrank = background\n";
}

EntryOptions MakeOptions() {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.bandwidth = kBandwidth;
  return options;
}

/// Sends a request with `method` every 20 ms for `duration` and answers each
/// attempt after one step. Returns the tickets.
std::vector<RequestTicket> SendSteadily(EntryDriver& driver,
                                        const std::string& method,
                                        Duration duration) {
  std::vector<RequestTicket> tickets;
  std::size_t answered = driver.attempts.size();
  const Time end = driver.now + duration;
  while (driver.now < end) {
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.service = "s";
    arrival.method = method;
    arrival.path = "/x";
    arrival.message_bytes = kRequestBytes;
    driver.Step(arrival);
    tickets.push_back(arrival.ticket);
    driver.AdvanceTime(20ms);
    while (answered < driver.attempts.size()) {
      AttemptEnded ended;
      ended.ticket = driver.attempts[answered++].ticket;
      ended.end = AttemptEnd::kAnswered;
      ended.answer = {200, "text/plain", "answer", false};
      ended.answer_bytes = kAnswerBytes;
      driver.Step(ended);
    }
    driver.AnswerHeartbeat();
  }
  return tickets;
}

}  // namespace

// Guards against serving all callers late because their requests and answers
// queue at the instance's network link (docs/incidents/recover.md).
TEST_CASE("Requests beyond the bandwidth of an entry are refused at once") {
  EntryDriver driver(MakeOptions());
  driver.ApplySettings(SettingsText());
  constexpr int kSeconds = 10;
  const auto tickets =
      SendSteadily(driver, "PUT", std::chrono::seconds(kSeconds));
  std::size_t forwarded = 0;
  for (const RequestTicket ticket : tickets) {
    forwarded += driver.WasForwarded(ticket) ? 1 : 0;
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    if (refusal == nullptr)
      continue;
    CHECK(refusal->error.kind == ErrorKind::kOverloaded);
    CHECK(refusal->outcome == Outcome::kNotRun);
    CHECK(refusal->retry_after > Duration{0});
  }
  const double carried =
      static_cast<double>(forwarded * (kRequestBytes + kAnswerBytes));
  CHECK(carried <= kBandwidth * kSeconds);
  CHECK(carried >= kBandwidth * kSeconds * 0.5);
}

TEST_CASE("Urgent requests use the bandwidth that others are refused") {
  EntryDriver driver(MakeOptions());
  driver.ApplySettings(SettingsText());
  SendSteadily(driver, "PUT", 5s);
  REQUIRE(driver.FindRefusal(driver.last_ticket) != nullptr);
  const auto tickets = SendSteadily(driver, "GET", 100ms);
  for (const RequestTicket ticket : tickets)
    CHECK(driver.WasForwarded(ticket));
}

}  // namespace jacinth::entry
