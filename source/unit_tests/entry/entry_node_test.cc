#include "core/entry/entry_node.h"

#include <catch2/catch.hpp>

#include "core/steering/lookup.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using forwarding::ProbeEnd;
using test::EntryDriver;
using test::SmallTree;

EntryDriver Ready(const std::string& more = "") {
  EntryDriver driver;
  driver.Apply(SmallTree(more));
  return driver;
}

}  // namespace

TEST_CASE("A repeatable request is tried again after a lost connection") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("GET", "/x");
  REQUIRE(driver.attempts.size() == 1);
  driver.End(driver.attempts[0], AttemptEnd::kConnectionLost);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].endpoint != driver.attempts[0].endpoint);
  CHECK(driver.attempts[1].fresh_connection);
  driver.End(driver.attempts[1], AttemptEnd::kAnswered);
  CHECK(driver.PassedOn(ticket));
}

TEST_CASE("A request that runs at most once is not sent before its claim") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("POST", "/x", "k");
  CHECK(driver.attempts.empty());
  const auto claims = driver.Take<protocol::ClaimRequest>();
  REQUIRE(claims.size() == 1);
  driver.Grant(claims[0]);
  REQUIRE(driver.attempts.size() == 1);
  driver.End(driver.attempts[0], AttemptEnd::kAnswered);
  CHECK(driver.PassedOn(ticket));
  const auto finishes = driver.Take<protocol::FinishRequest>();
  REQUIRE(finishes.size() == 1);
  CHECK(finishes[0].outcome == Outcome::kRan);
  CHECK(finishes[0].answer.body == "answer");
}

TEST_CASE("A request that runs at most once is never sent twice on doubt") {
  for (const AttemptEnd end :
       {AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut,
        AttemptEnd::kAnswerIncomplete}) {
    EntryDriver driver = Ready();
    const RequestTicket ticket = driver.Arrive("POST", "/x", "k");
    driver.Grant(driver.Take<protocol::ClaimRequest>()[0]);
    driver.End(driver.attempts[0], end);
    CHECK(driver.attempts.size() == 1);
    REQUIRE(driver.Refusal(ticket) != nullptr);
    CHECK(driver.Refusal(ticket)->outcome == Outcome::kUnknown);
    CHECK(driver.Take<protocol::FinishRequest>()[0].outcome ==
          Outcome::kUnknown);
  }
}

TEST_CASE("What an endpoint never got may go to another") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("POST", "/x", "k");
  driver.Grant(driver.Take<protocol::ClaimRequest>()[0]);
  driver.End(driver.attempts[0], AttemptEnd::kNotConnected);
  REQUIRE(driver.attempts.size() == 2);
  CHECK(driver.attempts[1].endpoint != driver.attempts[0].endpoint);
  driver.End(driver.attempts[1], AttemptEnd::kNotConnected);
  REQUIRE(driver.Refusal(ticket) != nullptr);
  CHECK(driver.Refusal(ticket)->outcome == Outcome::kNotRun);
  // The key is free again.
  CHECK(driver.Take<protocol::FinishRequest>()[0].outcome == Outcome::kNotRun);
}

TEST_CASE("What endpoints refuse waits until one takes it") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("POST", "/x", "k");
  driver.Grant(driver.Take<protocol::ClaimRequest>()[0]);
  for (std::size_t i = 0; i < 6; ++i) {
    REQUIRE(driver.attempts.size() == i + 1);
    driver.End(driver.attempts[i], AttemptEnd::kRefused);
    driver.Wait(20ms);
  }
  CHECK(driver.Refusal(ticket) == nullptr);
  driver.End(driver.attempts.back(), AttemptEnd::kAnswered);
  CHECK(driver.PassedOn(ticket));
}

TEST_CASE("What endpoints refuse to the end is refused, not run") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("POST", "/x", "k");
  driver.Grant(driver.Take<protocol::ClaimRequest>()[0]);
  std::size_t ended = 0;
  for (int i = 0; i < 200 && driver.Refusal(ticket) == nullptr; ++i) {
    for (; ended < driver.attempts.size(); ++ended)
      driver.End(driver.attempts[ended], AttemptEnd::kRefused);
    driver.Wait(20ms);
  }
  REQUIRE(driver.Refusal(ticket) != nullptr);
  CHECK(driver.Refusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(driver.Take<protocol::FinishRequest>()[0].outcome == Outcome::kNotRun);
}

TEST_CASE("A request that has waited too long to be answered is not sent") {
  EntryDriver driver = Ready();
  // Answers take 300 ms.
  driver.Arrive("GET", "/x");
  driver.Wait(300ms);
  driver.End(driver.attempts[0], AttemptEnd::kAnswered);
  for (int i = 0; i < 4; ++i)
    driver.Arrive("GET", "/x");
  REQUIRE(driver.attempts.size() == 5);
  const RequestTicket late = driver.Arrive("GET", "/x", "", 400ms);
  driver.Wait(300ms);
  driver.End(driver.attempts[1], AttemptEnd::kAnswered);
  REQUIRE(driver.Refusal(late) != nullptr);
  CHECK(driver.Refusal(late)->error.kind == ErrorKind::kDeadlineExceeded);
  CHECK(driver.Refusal(late)->outcome == Outcome::kNotRun);
  CHECK(driver.attempts.size() == 5);
  // A fresh request is tried although answers have been slower than its time.
  driver.Arrive("GET", "/x", "", 100ms);
  CHECK(driver.attempts.size() == 6);
}

TEST_CASE("A request that waits again holds up no other") {
  EntryDriver driver = Ready();
  driver.Arrive("GET", "/x");
  driver.End(driver.attempts[0], AttemptEnd::kNotConnected);
  REQUIRE(driver.attempts.size() == 2);
  driver.End(driver.attempts[1], AttemptEnd::kRefused);
  // Only the endpoint that the first request could not reach has room.
  driver.Arrive("GET", "/x");
  CHECK(driver.attempts.size() == 4);
}

TEST_CASE("A refusing endpoint gets fewer requests at once") {
  EntryDriver driver = Ready();
  for (int i = 0; i < 4; ++i)
    driver.Arrive("GET", "/x");
  REQUIRE(driver.attempts.size() == 4);
  for (std::size_t i = 0; i < 4; ++i)
    driver.End(driver.attempts[i], AttemptEnd::kRefused);
  driver.Wait(40ms);
  // Each of the two endpoints may run one now instead of two.
  CHECK(driver.attempts.size() == 6);
}

TEST_CASE("A refusal after a lost attempt does not say that nothing ran") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("GET", "/x");
  driver.End(driver.attempts[0], AttemptEnd::kConnectionLost);
  std::size_t ended = 1;
  for (int i = 0; i < 200 && driver.Refusal(ticket) == nullptr; ++i) {
    for (; ended < driver.attempts.size(); ++ended)
      driver.End(driver.attempts[ended], AttemptEnd::kRefused);
    driver.Wait(20ms);
  }
  REQUIRE(driver.Refusal(ticket) != nullptr);
  CHECK(driver.Refusal(ticket)->outcome == Outcome::kUnknown);
}

TEST_CASE("A grant after the deadline sends nothing") {
  EntryDriver driver = Ready();
  const RequestTicket ticket = driver.Arrive("POST", "/x", "k", 100ms);
  const auto claims = driver.Take<protocol::ClaimRequest>();
  driver.Wait(200ms);
  REQUIRE(driver.Refusal(ticket) != nullptr);
  CHECK(driver.Refusal(ticket)->error.kind == ErrorKind::kDeadlineExceeded);
  CHECK(driver.Refusal(ticket)->outcome == Outcome::kNotRun);
  driver.Grant(claims[0]);
  CHECK(driver.attempts.empty());
  CHECK(driver.Take<protocol::FinishRequest>()[0].outcome == Outcome::kNotRun);
}

TEST_CASE("Recorded answers and doubts come from the ledger") {
  EntryDriver driver = Ready();
  const RequestTicket first = driver.Arrive("POST", "/x", "k1");
  driver.Step(MessageReceived{
      "c1",
      protocol::ClaimReply{driver.Take<protocol::ClaimRequest>()[0].attempt,
                           true,
                           protocol::ClaimVerdict::kRan,
                           {201, "t", "old", false}}});
  const auto* repeat =
      std::get_if<RepeatAnswer>(&driver.answers.at(first).body);
  REQUIRE(repeat != nullptr);
  CHECK(repeat->answer.body == "old");

  const RequestTicket second = driver.Arrive("POST", "/x", "k2");
  driver.Grant(driver.Take<protocol::ClaimRequest>()[0],
               protocol::ClaimVerdict::kInProgress);
  CHECK(driver.Refusal(second)->error.kind == ErrorKind::kClaimInProgress);
  CHECK(driver.Refusal(second)->outcome == Outcome::kUnknown);
  CHECK(driver.attempts.empty());
}

TEST_CASE(
    "Cut off from the control role, only repeatable requests are served") {
  EntryDriver driver = Ready();
  driver.Wait(1500ms);
  const RequestTicket once = driver.Arrive("POST", "/x", "k");
  REQUIRE(driver.Refusal(once) != nullptr);
  CHECK(driver.Refusal(once)->error.kind == ErrorKind::kControlUnreachable);
  CHECK(driver.Refusal(once)->outcome == Outcome::kNotRun);
  const RequestTicket read = driver.Arrive("GET", "/x");
  CHECK(driver.Refusal(read) == nullptr);
  CHECK(driver.attempts.size() == 1);
}

TEST_CASE("Each bad request gets its error") {
  EntryDriver driver = Ready();
  const auto kind_of = [&](RequestTicket ticket) {
    REQUIRE(driver.Refusal(ticket) != nullptr);
    CHECK(driver.Refusal(ticket)->outcome == Outcome::kNotRun);
    return driver.Refusal(ticket)->error.kind;
  };
  CHECK(kind_of(driver.Arrive("GET", "/x", "", Duration{0}, "none")) ==
        ErrorKind::kUnknownService);
  CHECK(kind_of(driver.Arrive("PUT", "/x")) == ErrorKind::kUnknownPath);
  CHECK(kind_of(driver.Arrive("POST", "/x")) ==
        ErrorKind::kMissingIdempotencyKey);
  CHECK(kind_of(driver.Arrive("GET", "/x", "", Duration{-1})) ==
        ErrorKind::kDeadlineExceeded);
  EntryDriver fresh;
  const RequestTicket early = fresh.Arrive("GET", "/x");
  CHECK(fresh.Refusal(early)->error.kind == ErrorKind::kNotReady);
}

TEST_CASE("No endpoint gets more than its slots") {
  EntryDriver driver = Ready();
  for (int i = 0; i < 10; ++i)
    driver.Arrive("GET", "/x");
  CHECK(driver.attempts.size() == 4);
  std::map<std::string, int> running;
  for (const StartAttempt& attempt : driver.attempts)
    ++running[attempt.endpoint];
  CHECK(running["a"] == 2);
  CHECK(running["b"] == 2);
  driver.End(driver.attempts[0], AttemptEnd::kAnswered);
  CHECK(driver.attempts.size() == 5);
}

TEST_CASE("An endpoint that is leaving gets no new work") {
  EntryDriver driver = Ready();
  SECTION("by its own signal") {
    driver.Step(ProbeEnded{"s", "a", ProbeEnd::kDraining});
  }
  SECTION("by the operator") {
    driver.Apply(SmallTree() +
                 "[region/west/failure_domain/west-a]\n"
                 "drain = true\n");
  }
  SECTION("by leaving the settings") {
    std::string tree = SmallTree();
    const auto from = tree.find("[service/s/endpoint/a]");
    const auto to = tree.find("[service/s/endpoint/b]");
    driver.Apply(tree.erase(from, to - from));
  }
  for (int i = 0; i < 4; ++i)
    driver.Arrive("GET", "/x");
  for (const StartAttempt& attempt : driver.attempts)
    CHECK(attempt.endpoint == "b");
}

TEST_CASE("With no usable endpoint a request is refused at once, not run") {
  EntryDriver driver = Ready();
  driver.Step(ProbeEnded{"s", "a", ProbeEnd::kDraining});
  driver.Step(ProbeEnded{"s", "b", ProbeEnd::kDraining});
  const RequestTicket ticket = driver.Arrive("GET", "/x");
  REQUIRE(driver.Refusal(ticket) != nullptr);
  CHECK(driver.Refusal(ticket)->error.kind == ErrorKind::kNoEndpoint);
}

TEST_CASE("A planned stop announces, waits for old answers, then refuses") {
  EntryDriver driver = Ready();
  const RequestTicket in_flight = driver.Arrive("GET", "/x");
  driver.Step(StopRequested{});
  driver.Wait(100ms);
  CHECK(driver.last_heartbeat.status.draining);
  // The TTL of answers given is 1 s: callers still come and are served.
  driver.Wait(700ms);
  driver.Confirm();
  const RequestTicket late = driver.Arrive("GET", "/x");
  CHECK(driver.Refusal(late) == nullptr);
  driver.Wait(800ms);
  const RequestTicket refused = driver.Arrive("GET", "/x");
  REQUIRE(driver.Refusal(refused) != nullptr);
  CHECK(driver.Refusal(refused)->error.kind == ErrorKind::kDraining);
  CHECK_FALSE(driver.stopped);
  driver.End(driver.attempts[0], AttemptEnd::kAnswered);
  driver.End(driver.attempts[1], AttemptEnd::kAnswered);
  CHECK(driver.PassedOn(in_flight));
  driver.Wait(100ms);
  CHECK(driver.stopped);
}

TEST_CASE("A stop waits until the ledger knows how attempts ended") {
  EntryDriver driver = Ready();
  driver.Arrive("POST", "/x", "k");
  driver.Grant(driver.Take<protocol::ClaimRequest>()[0]);
  driver.End(driver.attempts[0], AttemptEnd::kAnswered);
  const auto finishes = driver.Take<protocol::FinishRequest>();
  driver.Step(StopRequested{});
  driver.Wait(2s);
  CHECK_FALSE(driver.stopped);
  driver.Step(
      MessageReceived{"c1", protocol::FinishReply{finishes[0].attempt}});
  driver.Wait(100ms);
  CHECK(driver.stopped);
}

TEST_CASE("A stop is bounded even if a request never ends") {
  EntryDriver driver = Ready();
  driver.Arrive("GET", "/x");
  driver.Step(StopRequested{});
  driver.Wait(8s);
  CHECK(driver.stopped);
}

TEST_CASE("A cut-off entry leaves its own look-up answers") {
  EntryDriver driver = Ready();
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
