#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

constexpr Duration kGrace = 6s;
constexpr Duration kLookupTtl = 4s;

EntryDriver MakeDriver() {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.limits.stop_grace = kGrace;
  EntryDriver driver(options);
  std::string settings = test::ServiceSettingsText();
  settings.replace(settings.find("ttl_ms = 1000"), 13, "ttl_ms = 4000");
  settings.replace(settings.find("request_timeout_ms = 2000"), 25,
                   "request_timeout_ms = 20000\nattempt_timeout_ms = 20000");
  driver.ApplySettings(settings);
  return driver;
}

// Advances the time while the control role goes on answering.
void AdvanceInContact(EntryDriver& driver, Duration duration) {
  for (const Time end = driver.now + duration; driver.now < end;) {
    driver.AdvanceTime(20ms);
    driver.AnswerHeartbeat();
  }
}

}  // namespace

// Guards against taking requests so late in a planned stop that the platform
// ends the process while endpoints are at work on them.
TEST_CASE("A stopping entry refuses requests that come late, as not run") {
  EntryDriver driver = MakeDriver();
  driver.SendRequest("GET", "/x");
  driver.Step(StopRequested{});
  AdvanceInContact(driver, 2s);
  const RequestTicket early = driver.SendRequest("GET", "/x");
  CHECK(driver.FindRefusal(early) == nullptr);
  AdvanceInContact(driver, 1s);
  REQUIRE(driver.now < Time{100s} + kLookupTtl);
  const RequestTicket late = driver.SendRequest("GET", "/x");
  REQUIRE(driver.FindRefusal(late) != nullptr);
  CHECK(driver.FindRefusal(late)->error.kind == ErrorKind::kDraining);
  CHECK(driver.FindRefusal(late)->outcome == Outcome::kNotRun);
}

// Guards against taking a request whose usual answer time reaches beyond the
// end of a planned stop.
TEST_CASE("A stopping entry refuses requests that it can't see through") {
  EntryDriver driver = MakeDriver();
  driver.SendRequest("GET", "/x");
  AdvanceInContact(driver, 5s);
  driver.EndAttempt(driver.attempts.at(0), AttemptEnd::kAnswered);
  driver.Step(StopRequested{});
  AdvanceInContact(driver, 1s);
  const RequestTicket slow = driver.SendRequest("GET", "/x");
  REQUIRE(driver.FindRefusal(slow) != nullptr);
  CHECK(driver.FindRefusal(slow)->error.kind == ErrorKind::kDraining);
  CHECK(driver.FindRefusal(slow)->outcome == Outcome::kNotRun);
  const RequestTicket brief = driver.SendRequest("GET", "/x", "", 1s);
  CHECK(driver.FindRefusal(brief) == nullptr);
}

// Guards against closing the connections of callers whose requests wait for an
// endpoint when a planned stop ends.
TEST_CASE("An entry answers what is still under way when a stop ends") {
  EntryDriver driver = MakeDriver();
  constexpr RequestTicket kRunning = 4;
  for (RequestTicket i = 0; i < kRunning; ++i)
    driver.SendRequest("GET", "/x");
  const RequestTicket waiting = driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == kRunning);
  driver.Step(StopRequested{});
  AdvanceInContact(driver, kGrace * 5 / 6);
  // The platform lets requests at work be given up only in the last sixth.
  CHECK(driver.answers.empty());
  AdvanceInContact(driver, 600ms);
  for (const StartAttempt& attempt : driver.attempts) {
    REQUIRE(driver.FindRefusal(attempt.ticket) != nullptr);
    CHECK(driver.FindRefusal(attempt.ticket)->error.kind ==
          ErrorKind::kTimeout);
    CHECK(driver.FindRefusal(attempt.ticket)->outcome == Outcome::kUnknown);
  }
  REQUIRE(driver.FindRefusal(waiting) != nullptr);
  CHECK(driver.FindRefusal(waiting)->error.kind == ErrorKind::kDraining);
  CHECK(driver.FindRefusal(waiting)->outcome == Outcome::kNotRun);
  CHECK(driver.cancellations.size() == kRunning);
  CHECK(driver.stopped);
}

// Guards against giving up requests in an endpoint's queue with an unknown
// outcome: the endpoint says in time that it hasn't run them.
TEST_CASE("An endpoint's time ends before that of a stopping entry") {
  EntryDriver driver = MakeDriver();
  driver.Step(StopRequested{});
  AdvanceInContact(driver, 1s);
  driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 1);
  const StartAttempt& attempt = driver.attempts[0];
  const Time stop_end = driver.now - 1s + kGrace;
  CHECK(driver.now + attempt.timeout > stop_end - kGrace / 6);
  CHECK(driver.now + attempt.timeout + attempt.answer_delay < stop_end);
  CHECK(attempt.answer_delay >= 100ms);
}

}  // namespace jacinth::entry
