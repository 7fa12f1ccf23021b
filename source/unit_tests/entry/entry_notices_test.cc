#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Settings of two routes of one service whose endpoints the platform lists.
std::string SettingsText() {
  return "retry_budget_percent = 100\n[route/read]\nhost = h\n"
         "path_prefix = /\nservice = s\nexecution = repeatable\n"
         "affinity = true\nobjective_ms = 800\nrequest_timeout_ms = 4000\n"
         "attempt_timeout_ms = 4000\nmax_attempts = 3\n"
         "[service/s]\nprobe_interval_ms = 0\nwarmup_ms = 0\n";
}

protocol::ListedEndpoint MakeListed(const std::string& id,
                                    std::int64_t started_ms = 1'000) {
  protocol::ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:" + std::to_string(id.back());
  endpoint.failure_domain = "west-a";
  endpoint.slots = 4;
  return endpoint;
}

class Fixture {
 public:
  Fixture() : driver(MakeOptions()) {
    driver.ApplySettings(SettingsText());
    List({MakeListed("a"), MakeListed("b")});
  }

  static EntryOptions MakeOptions() {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.limits.count_refusals_as_retries = true;
    options.failure_domain_regions = {{"west-a", "west"}};
    options.can_list_endpoints = true;
    return options;
  }

  /// The leader sends a list of endpoints.
  void List(std::vector<protocol::ListedEndpoint> endpoints) {
    protocol::HeartbeatReply reply;
    reply.sequence = driver.last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.endpoints.version = ++list_version;
    reply.endpoints.changed = std::move(endpoints);
    driver.Step(MessageReceived{"c1", reply});
  }

  RequestTicket Send(const std::string& object = "") {
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.host = "h";
    arrival.method = "GET";
    arrival.path = "/x";
    arrival.object = object;
    driver.Step(arrival);
    return arrival.ticket;
  }

  void End(const StartAttempt& attempt,
           AttemptEnd end,
           forwarding::EndpointNotices notices = {}) {
    AttemptEnded ended;
    ended.ticket = attempt.ticket;
    ended.end = end;
    ended.answer = {200, "text/plain", "answer", false};
    ended.notices = std::move(notices);
    driver.Step(ended);
  }

  /// Answers all attempts from the number `next` on. Those at `endpoint` are
  /// answered with `notices`.
  void AnswerAll(const std::string& endpoint,
                 const forwarding::EndpointNotices& notices,
                 AttemptEnd end) {
    while (next < driver.attempts.size()) {
      const StartAttempt attempt = driver.attempts[next++];
      if (attempt.endpoint == endpoint)
        End(attempt, end, notices);
      else
        End(attempt, AttemptEnd::kAnswered);
    }
  }

  /// Sends 50 requests per second for `duration` and answers each.
  void SendSteadily(Duration duration,
                    const std::string& endpoint,
                    const forwarding::EndpointNotices& notices,
                    AttemptEnd end = AttemptEnd::kAnswered) {
    const Time stop = driver.now + duration;
    while (driver.now < stop) {
      Send(driver.last_ticket % 3 == 0 ? "" : "o" + std::to_string(++objects));
      driver.AdvanceTime(20ms);
      AnswerAll(endpoint, notices, end);
    }
  }

  /// Number of attempts at the endpoint so far.
  std::size_t CountAttempts(const std::string& endpoint) const {
    std::size_t count = 0;
    for (const StartAttempt& attempt : driver.attempts)
      count += attempt.endpoint == endpoint ? 1 : 0;
    return count;
  }

  EntryDriver driver;
  std::uint64_t list_version = 0;
  std::uint64_t objects = 0;
  std::size_t next = 0;
};

const forwarding::EndpointNotices kLeaving{true, {}, {}};

forwarding::EndpointNotices Wait(Duration wait) {
  return {false, wait, {}};
}

}  // namespace

// Guards against new requests to an endpoint that said that it leaves, whatever
// the answer's status, and whatever the lists say until it starts again
// (DRAIN).
TEST_CASE_METHOD(Fixture,
                 "An endpoint that says that it leaves gets no request until "
                 "it has started again") {
  const AttemptEnd end =
      GENERATE(AttemptEnd::kAnswered, AttemptEnd::kAnsweredFailure,
               AttemptEnd::kRefused, AttemptEnd::kAmbiguousRefusal);
  Send("o1");
  const std::string leaver = driver.attempts.front().endpoint;
  const std::string other = leaver == "a" ? "b" : "a";
  ++next;
  End(driver.attempts.front(), end, kLeaving);
  const std::size_t before = CountAttempts(leaver);
  SECTION("in contact") {
    SendSteadily(2s, "", {});
  }
  SECTION("the same list is sent again") {
    List({MakeListed(other), MakeListed(leaver)});
    SendSteadily(2s, "", {});
  }
  SECTION("the endpoint is not listed for a while") {
    List({MakeListed(other)});
    SendSteadily(2s, "", {});
    List({MakeListed(other), MakeListed(leaver)});
    SendSteadily(2s, "", {});
  }
  SECTION("the list doesn't state the start time") {
    List({MakeListed(other), MakeListed(leaver, 0)});
    SendSteadily(2s, "", {});
  }
  SECTION("the entry is out of contact and reads the list itself") {
    driver.AdvanceTime(5s);
    driver.Step(EndpointsListed{{MakeListed(leaver), MakeListed(other)}});
    SendSteadily(2s, "", {});
  }
  SECTION("the service is removed from the settings for a while") {
    driver.ApplySettings("[service/t]\n");
    driver.ApplySettings(SettingsText());
    List({MakeListed(other), MakeListed(leaver)});
    SendSteadily(2s, "", {});
  }
  CHECK(CountAttempts(leaver) == before);
  CHECK(CountAttempts(other) > 0);
  List({MakeListed(other), MakeListed(leaver, 2'000)});
  SendSteadily(2s, "", {});
  CHECK(CountAttempts(leaver) > before);
}

// Guards against a health answer that says so and isn't heard.
TEST_CASE_METHOD(Fixture, "A health answer can say that the endpoint leaves") {
  ProbeEnded ended;
  ended.service = "s";
  ended.endpoint = "a";
  ended.end = forwarding::ProbeEnd::kHealthy;
  ended.tests_links = GENERATE(false, true);
  ended.process = {MakeListed("a").address, 1'000};
  ended.notices = kLeaving;
  driver.Step(ended);
  SendSteadily(1s, "", {});
  CHECK(CountAttempts("a") == 0);
}

// Guards against taking an answer that was under way for one of the process
// that has started since.
TEST_CASE_METHOD(Fixture,
                 "The answer of an earlier process doesn't drain the one that "
                 "has started since") {
  Send("o1");
  const StartAttempt first = driver.attempts.front();
  List({MakeListed("a", 2'000), MakeListed("b", 2'000)});
  End(first, AttemptEnd::kAnswered, kLeaving);
  ++next;
  SendSteadily(1s, "", {});
  CHECK(CountAttempts(first.endpoint) > 1);
}

// Guards against an endpoint without a start time that stays out for ever.
TEST_CASE_METHOD(
    Fixture,
    "An endpoint of unknown start time returns with a healthy "
    "answer to a probe that started after it said that it leaves") {
  List({MakeListed("a", 0), MakeListed("b", 0)});
  Send("o1");
  const StartAttempt first = driver.attempts.front();
  ++next;
  End(first, AttemptEnd::kAnswered, kLeaving);
  driver.AdvanceTime(1s);
  REQUIRE(driver.probes.size() == 1);
  CHECK(driver.probes.front().endpoint == first.endpoint);
  ProbeEnded ended;
  ended.service = "s";
  ended.endpoint = first.endpoint;
  ended.process = {first.address, 0};
  ended.end = forwarding::ProbeEnd::kHealthy;
  SECTION("the answer still says that it leaves") {
    ended.notices = kLeaving;
    driver.Step(ended);
    SendSteadily(1s, "", {});
    CHECK(CountAttempts(first.endpoint) == 1);
  }
  SECTION("the answer does not") {
    driver.Step(ended);
    SendSteadily(3s, "", {});
    CHECK(CountAttempts(first.endpoint) > 1);
  }
}

// Guards against requests to an endpoint that wants none for a time (BUDGET).
TEST_CASE_METHOD(Fixture,
                 "An endpoint that asks to wait gets no request until the time "
                 "is over") {
  const AttemptEnd end =
      GENERATE(AttemptEnd::kRefused, AttemptEnd::kAmbiguousRefusal);
  SendSteadily(500ms, "", {});
  Send("o1");
  const StartAttempt refused = driver.attempts.back();
  const std::string waiter = refused.endpoint;
  const std::string other = waiter == "a" ? "b" : "a";
  next = driver.attempts.size();
  const Time asked = driver.now;
  End(refused, end, Wait(3s));
  const std::size_t before = CountAttempts(waiter);
  SECTION("in contact") {
    SendSteadily(2900ms, "", {});
  }
  SECTION("the endpoint is not listed for a while") {
    List({MakeListed(other)});
    SendSteadily(1s, "", {});
    List({MakeListed(other), MakeListed(waiter)});
    SendSteadily(1900ms, "", {});
  }
  SECTION("the entry is out of contact and reads the list itself") {
    SendSteadily(1500ms, "", {});
    driver.Step(EndpointsListed{{MakeListed(waiter), MakeListed(other)}});
    SendSteadily(1400ms, "", {});
  }
  SECTION("another answer asks for a shorter time") {
    End(driver.attempts[driver.attempts.size() - 1], AttemptEnd::kAnswered,
        Wait(10ms));
    SendSteadily(2900ms, "", {});
  }
  CHECK(CountAttempts(waiter) == before);
  CHECK(driver.now < asked + 3s);
  CHECK(driver.WasForwarded(refused.ticket));
  SendSteadily(2s, "", {});
  CHECK(CountAttempts(waiter) > before);
  // A request to wait is no failure, for which the endpoint would be probed.
  CHECK(driver.probes.empty());
}

// Guards against probes of an endpoint that wants nothing.
TEST_CASE_METHOD(Fixture, "An endpoint that asks to wait is not probed") {
  const auto fail = [&] {
    ProbeEnded ended;
    ended.service = "s";
    ended.endpoint = "a";
    ended.process = {MakeListed("a").address, 1'000};
    ended.notices = Wait(3s);
    driver.Step(ended);
  };
  for (int i = 0; i < 3; ++i)
    fail();
  driver.AdvanceTime(2900ms);
  CHECK(driver.probes.empty());
  driver.AdvanceTime(600ms);
  CHECK(driver.probes.size() == 1);
}

// Guards against holding the callers of endpoints that all want none, and
// against their return at the same moment.
TEST_CASE_METHOD(
    Fixture,
    "While all endpoints ask to wait, requests are refused at once "
    "and asked to return one after the other") {
  SendSteadily(1s, "", {});
  std::vector<RequestTicket> queued;
  for (int i = 0; i < 40; ++i) {
    const RequestTicket ticket = Send();
    const bool waits = driver.attempts.back().ticket != ticket &&
                       driver.FindRefusal(ticket) == nullptr;
    if (waits)
      queued.push_back(ticket);
  }
  REQUIRE(queued.size() >= 3);
  const std::size_t sent = driver.attempts.size();
  for (std::size_t i = next; i < sent; ++i)
    End(driver.attempts[i], AttemptEnd::kRefused, Wait(1s));
  driver.AdvanceTime(20ms);
  std::map<Duration, int> returns;
  for (int i = 0; i < 12; ++i)
    queued.push_back(Send());
  for (const RequestTicket ticket : queued) {
    CAPTURE(ticket);
    const RefuseRequest* refusal = driver.FindRefusal(ticket);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->outcome == Outcome::kNotRun);
    CHECK(refusal->retry_after >= 900ms);
    ++returns[refusal->retry_after];
  }
  CHECK(returns.size() >= 3);
  // When the time is over, requests return gradually.
  driver.AdvanceTime(1s);
  const std::size_t before = driver.attempts.size();
  for (int i = 0; i < 30; ++i)
    Send();
  CHECK(driver.attempts.size() - before >= 1);
  CHECK(driver.attempts.size() - before <= 3);
}

// Guards against moving an object from the endpoint that has it warm because
// of a short wait.
TEST_CASE_METHOD(Fixture,
                 "The owner of a slice that asks for a short wait keeps it") {
  Send("o1");
  const std::string owner = driver.attempts.back().endpoint;
  next = driver.attempts.size();
  End(driver.attempts.back(), AttemptEnd::kRefused, Wait(500ms));
  AnswerAll("", {}, AttemptEnd::kAnswered);
  driver.AdvanceTime(600ms);
  Send("o1");
  CHECK(driver.attempts.back().endpoint == owner);
}

// Guards against what one entry hears remaining with it, and against a new
// leader that does not learn of it.
TEST_CASE_METHOD(Fixture,
                 "An endpoint that leaves is reported with the next heartbeat, "
                 "and again every second while it is listed") {
  Send("o1");
  const StartAttempt first = driver.attempts.front();
  driver.TakeMessages<protocol::Heartbeat>();
  End(first, AttemptEnd::kAnswered, kLeaving);
  const auto reports_within = [&](Duration duration) {
    driver.AdvanceTime(duration);
    std::vector<protocol::DrainReport> reports;
    std::uint64_t sequence = 0;
    for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>()) {
      // While the leader is unknown, a heartbeat goes to several instances.
      if (std::exchange(sequence, heartbeat.sequence) != heartbeat.sequence)
        reports.insert(reports.end(), heartbeat.drains.begin(),
                       heartbeat.drains.end());
    }
    return reports;
  };
  const protocol::DrainReport expected{first.endpoint, first.address, 1'000};
  CHECK(reports_within(60ms) == std::vector{expected});
  CHECK(reports_within(800ms).empty());
  CHECK(reports_within(400ms) == std::vector{expected});
  SECTION("started again") {
    List({MakeListed("a", 2'000), MakeListed("b", 2'000)});
    CHECK(reports_within(2s).empty());
  }
  SECTION("listed as draining") {
    protocol::ListedEndpoint other =
        MakeListed(first.endpoint == "a" ? "b" : "a");
    other.draining = true;
    List({MakeListed(first.endpoint), other});
    CHECK(reports_within(1100ms).size() == 2);
  }
}

TEST_CASE_METHOD(Fixture,
                 "An endpoint of unknown start time that leaves is not "
                 "reported") {
  List({MakeListed("a", 0), MakeListed("b", 0)});
  Send("o1");
  End(driver.attempts.front(), AttemptEnd::kAnswered, kLeaving);
  driver.AdvanceTime(2s);
  for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>())
    CHECK(heartbeat.drains.empty());
}

}  // namespace jacinth::entry
