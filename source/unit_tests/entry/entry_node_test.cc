#include "core/entry/entry_node.h"

#include <catch2/catch.hpp>

#include "core/steering/lookup.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using forwarding::ProbeEnd;
using test::EntryDriver;
using test::ServiceSettingsText;

EntryDriver MakeReadyDriver(const std::string& more_settings = "") {
  EntryDriver driver;
  driver.ApplySettings(ServiceSettingsText(more_settings));
  return driver;
}

}  // namespace

TEST_CASE("A repeatable request is retried after a lost connection") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 1);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kConnectionLost);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].endpoint != driver.attempts[0].endpoint);
  CHECK(driver.attempts[1].fresh_connection);
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(ticket));
}

TEST_CASE("An at-most-once request is not sent before its claim is granted") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("POST", "/x", "k");
  CHECK(driver.attempts.empty());
  const auto claims = driver.TakeMessages<protocol::ClaimRequest>();
  REQUIRE(claims.size() == 1);
  driver.AnswerClaim(claims[0]);
  REQUIRE(driver.attempts.size() == 1);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(ticket));
  const auto finishes = driver.TakeMessages<protocol::FinishRequest>();
  REQUIRE(finishes.size() == 1);
  CHECK(finishes[0].outcome == Outcome::kRan);
  CHECK(finishes[0].answer.body == "answer");
}

TEST_CASE("An at-most-once request is not retried after an unknown outcome") {
  for (const AttemptEnd end :
       {AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
        AttemptEnd::kAnswerIncomplete}) {
    EntryDriver driver = MakeReadyDriver();
    const RequestTicket ticket = driver.SendRequest("POST", "/x", "k");
    driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0]);
    driver.EndAttempt(driver.attempts[0], end);
    CHECK(driver.attempts.size() == 1);
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
    CHECK(driver.TakeMessages<protocol::FinishRequest>()[0].outcome ==
          Outcome::kUnknown);
  }
}

TEST_CASE("An at-most-once request is retried if no connection was made") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("POST", "/x", "k");
  driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0]);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kNotConnected);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].endpoint != driver.attempts[0].endpoint);
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kNotConnected);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  // This outcome releases the idempotency key.
  CHECK(driver.TakeMessages<protocol::FinishRequest>()[0].outcome ==
        Outcome::kNotRun);
}

TEST_CASE("A refused request is requeued until an endpoint accepts it") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("POST", "/x", "k");
  driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0]);
  for (std::size_t i = 0; i < 6; ++i) {
    REQUIRE(driver.attempts.size() == i + 1);
    driver.EndAttempt(driver.attempts[i], AttemptEnd::kRefused);
    driver.AdvanceTime(20ms);
  }
  CHECK(driver.FindRefusal(ticket) == nullptr);
  driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(ticket));
}

TEST_CASE("A request that every endpoint refuses has the outcome not run") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("POST", "/x", "k");
  driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0]);
  std::size_t ended = 0;
  for (int i = 0; i < 200 && driver.FindRefusal(ticket) == nullptr; ++i) {
    for (; ended < driver.attempts.size(); ++ended)
      driver.EndAttempt(driver.attempts[ended], AttemptEnd::kRefused);
    driver.AdvanceTime(20ms);
  }
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(driver.TakeMessages<protocol::FinishRequest>()[0].outcome ==
        Outcome::kNotRun);
}

TEST_CASE("A request that waited too long to be answered in time is not sent") {
  EntryDriver driver = MakeReadyDriver();
  // Sets the average answer time to 300 ms.
  driver.SendRequest("GET", "/x");
  driver.AdvanceTime(300ms);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  for (int i = 0; i < 4; ++i)
    driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 5);
  const RequestTicket late = driver.SendRequest("GET", "/x", "", 400ms);
  driver.AdvanceTime(300ms);
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kAnswered);
  REQUIRE(driver.FindRefusal(late) != nullptr);
  CHECK(driver.FindRefusal(late)->error.kind == ErrorKind::kDeadlineExceeded);
  CHECK(driver.FindRefusal(late)->outcome == Outcome::kNotRun);
  CHECK(driver.attempts.size() == 5);
  // A new request is tried even if its budget is below the average answer time.
  driver.SendRequest("GET", "/x", "", 100ms);
  CHECK(driver.attempts.size() == 6);
}

TEST_CASE("A requeued request does not block other requests") {
  EntryDriver driver = MakeReadyDriver();
  driver.SendRequest("GET", "/x");
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kNotConnected);
  REQUIRE(driver.attempts.size() == 2);
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kRefused);
  // Only the endpoint that the first request could not connect to has a free
  // slot.
  driver.SendRequest("GET", "/x");
  CHECK(driver.attempts.size() == 4);
}

TEST_CASE("A refusal lowers the concurrency limit of the endpoint") {
  EntryDriver driver = MakeReadyDriver();
  for (int i = 0; i < 4; ++i)
    driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 4);
  for (std::size_t i = 0; i < 4; ++i)
    driver.EndAttempt(driver.attempts[i], AttemptEnd::kRefused);
  driver.AdvanceTime(40ms);
  // The limit of each of the two endpoints has fallen from two to one.
  CHECK(driver.attempts.size() == 6);
}

TEST_CASE("A refusal after a lost connection leaves the outcome unknown") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("GET", "/x");
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kConnectionLost);
  std::size_t ended = 1;
  for (int i = 0; i < 200 && driver.FindRefusal(ticket) == nullptr; ++i) {
    for (; ended < driver.attempts.size(); ++ended)
      driver.EndAttempt(driver.attempts[ended], AttemptEnd::kRefused);
    driver.AdvanceTime(20ms);
  }
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
}

TEST_CASE("A claim granted after the deadline starts no attempt") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = driver.SendRequest("POST", "/x", "k", 100ms);
  const auto claims = driver.TakeMessages<protocol::ClaimRequest>();
  driver.AdvanceTime(200ms);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->error.kind == ErrorKind::kDeadlineExceeded);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  driver.AnswerClaim(claims[0]);
  CHECK(driver.attempts.empty());
  CHECK(driver.TakeMessages<protocol::FinishRequest>()[0].outcome ==
        Outcome::kNotRun);
}

TEST_CASE(
    "A claim that is not granted ends the request with the ledger's verdict") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket first = driver.SendRequest("POST", "/x", "k1");
  driver.Step(MessageReceived{
      "c1", protocol::ClaimReply{
                driver.TakeMessages<protocol::ClaimRequest>()[0].attempt,
                true,
                protocol::ClaimVerdict::kRan,
                {201, "t", "old", false}}});
  const auto* replay =
      std::get_if<ReplayAnswer>(&driver.answers.at(first).body);
  REQUIRE(replay != nullptr);
  CHECK(replay->answer.body == "old");

  const RequestTicket second = driver.SendRequest("POST", "/x", "k2");
  driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0],
                     protocol::ClaimVerdict::kInProgress);
  CHECK(driver.FindRefusal(second)->error.kind == ErrorKind::kClaimInProgress);
  CHECK(driver.FindRefusal(second)->outcome == Outcome::kUnknown);
  CHECK(driver.attempts.empty());
}

TEST_CASE(
    "Without contact with the control role, only repeatable requests are "
    "served") {
  EntryDriver driver = MakeReadyDriver();
  driver.AdvanceTime(1500ms);
  const RequestTicket once = driver.SendRequest("POST", "/x", "k");
  REQUIRE(driver.FindRefusal(once) != nullptr);
  CHECK(driver.FindRefusal(once)->error.kind == ErrorKind::kControlUnreachable);
  CHECK(driver.FindRefusal(once)->outcome == Outcome::kNotRun);
  const RequestTicket repeatable = driver.SendRequest("GET", "/x");
  CHECK(driver.FindRefusal(repeatable) == nullptr);
  CHECK(driver.attempts.size() == 1);
}

TEST_CASE("Each kind of invalid request gets its own error") {
  EntryDriver driver = MakeReadyDriver();
  const auto kind_of = [&](RequestTicket ticket) {
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
    return driver.FindRefusal(ticket)->error.kind;
  };
  CHECK(kind_of(driver.SendRequest("GET", "/x", "", Duration{0}, "none")) ==
        ErrorKind::kUnknownService);
  CHECK(kind_of(driver.SendRequest("PUT", "/x")) == ErrorKind::kUnknownPath);
  CHECK(kind_of(driver.SendRequest("POST", "/x")) ==
        ErrorKind::kMissingIdempotencyKey);
  CHECK(kind_of(driver.SendRequest("GET", "/x", "", Duration{-1})) ==
        ErrorKind::kDeadlineExceeded);
  EntryDriver fresh;
  const RequestTicket early = fresh.SendRequest("GET", "/x");
  CHECK(fresh.FindRefusal(early)->error.kind == ErrorKind::kNotReady);
}

TEST_CASE("An endpoint gets no more requests at once than it has slots") {
  EntryDriver driver = MakeReadyDriver();
  for (int i = 0; i < 10; ++i)
    driver.SendRequest("GET", "/x");
  CHECK(driver.attempts.size() == 4);
  std::map<std::string, int> running;
  for (const StartAttempt& attempt : driver.attempts)
    ++running[attempt.endpoint];
  CHECK(running["a"] == 2);
  CHECK(running["b"] == 2);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  CHECK(driver.attempts.size() == 5);
}

TEST_CASE("An endpoint that is drained or removed gets no new requests") {
  EntryDriver driver = MakeReadyDriver();
  SECTION("drained by the answer to a health probe") {
    driver.Step(ProbeEnded{"s", "a", ProbeEnd::kDraining});
  }
  SECTION("drained by the operator") {
    driver.ApplySettings(ServiceSettingsText() +
                         "[region/west/failure_domain/west-a]\n"
                         "drain = true\n");
  }
  SECTION("removed from the settings") {
    std::string settings_text = ServiceSettingsText();
    const auto from = settings_text.find("[service/s/endpoint/a]");
    const auto to = settings_text.find("[service/s/endpoint/b]");
    driver.ApplySettings(settings_text.erase(from, to - from));
  }
  for (int i = 0; i < 4; ++i)
    driver.SendRequest("GET", "/x");
  for (const StartAttempt& attempt : driver.attempts)
    CHECK(attempt.endpoint == "b");
}

TEST_CASE("A request is refused at once if no endpoint is usable") {
  EntryDriver driver = MakeReadyDriver();
  driver.Step(ProbeEnded{"s", "a", ProbeEnd::kDraining});
  driver.Step(ProbeEnded{"s", "b", ProbeEnd::kDraining});
  const RequestTicket ticket = driver.SendRequest("GET", "/x");
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->error.kind == ErrorKind::kNoEndpoint);
}

TEST_CASE(
    "A planned stop refuses requests only after look-up answers have expired") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket in_flight = driver.SendRequest("GET", "/x");
  driver.Step(StopRequested{});
  driver.AdvanceTime(100ms);
  CHECK(driver.last_heartbeat.status.draining);
  // Callers may use earlier look-up answers for the TTL of 1 s, so requests are
  // still served.
  driver.AdvanceTime(700ms);
  driver.AnswerHeartbeat();
  const RequestTicket late = driver.SendRequest("GET", "/x");
  CHECK(driver.FindRefusal(late) == nullptr);
  driver.AdvanceTime(800ms);
  const RequestTicket refused = driver.SendRequest("GET", "/x");
  REQUIRE(driver.FindRefusal(refused) != nullptr);
  CHECK(driver.FindRefusal(refused)->error.kind == ErrorKind::kDraining);
  CHECK_FALSE(driver.stopped);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  driver.EndAttempt(driver.attempts[1], AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(in_flight));
  driver.AdvanceTime(100ms);
  CHECK(driver.stopped);
}

TEST_CASE("A planned stop waits until the ledger has confirmed all outcomes") {
  EntryDriver driver = MakeReadyDriver();
  driver.SendRequest("POST", "/x", "k");
  driver.AnswerClaim(driver.TakeMessages<protocol::ClaimRequest>()[0]);
  driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
  const auto finishes = driver.TakeMessages<protocol::FinishRequest>();
  driver.Step(StopRequested{});
  driver.AdvanceTime(2s);
  CHECK_FALSE(driver.stopped);
  driver.Step(
      MessageReceived{"c1", protocol::FinishReply{finishes[0].attempt}});
  driver.AdvanceTime(100ms);
  CHECK(driver.stopped);
}

TEST_CASE(
    "A planned stop ends after the drain limit even if a request never ends") {
  EntryDriver driver = MakeReadyDriver();
  driver.SendRequest("GET", "/x");
  driver.Step(StopRequested{});
  driver.AdvanceTime(8s);
  CHECK(driver.stopped);
}

// Pattern: a planned stop under load. Guards against requests that are cut
// although the platform would have let them end.
TEST_CASE("A planned stop uses the time that the platform leaves it") {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.drain_limit = 1s;
  options.limits.stop_grace = 10s;
  EntryDriver driver(options);
  driver.ApplySettings(test::ServiceSettingsText());
  driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 1);
  driver.Step(StopRequested{});
  driver.AdvanceTime(8500ms);
  CHECK_FALSE(driver.stopped);
  SECTION("the request ends") {
    driver.EndAttempt(driver.attempts[0], AttemptEnd::kAnswered);
    driver.AdvanceTime(100ms);
    CHECK(driver.WasForwarded(1));
  }
  SECTION("the request never ends") {
    driver.AdvanceTime(1s);
  }
  CHECK(driver.stopped);
}

TEST_CASE(
    "An entry without contact with the control role omits itself from "
    "look-ups") {
  EntryDriver driver = MakeReadyDriver();
  REQUIRE(driver.snapshot != nullptr);
  steering::SteeringSnapshot snapshot = *driver.snapshot;
  protocol::EntryStatus other;
  other.id = "e2";
  other.address = "127.0.0.1:2";
  snapshot.members.push_back(other);
  const auto in_contact =
      steering::AnswerLookup(snapshot, "s", "", 0, driver.now);
  CHECK(in_contact->entries.size() == 2);
  const auto cut_off =
      steering::AnswerLookup(snapshot, "s", "", 0, driver.now + 2s);
  REQUIRE(cut_off->entries.size() == 1);
  CHECK(cut_off->entries[0].address == "127.0.0.1:2");
}

}  // namespace jacinth::entry
