#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Routes `safe` and `once` to service `s`, whose endpoints the platform lists.
std::string RouteSettingsText(const std::string& more_settings = "") {
  return "retry_budget_percent = 100\n[route/safe]\nhost = h\n"
         "path_prefix = /safe/\n"
         "execution = repeatable\nservice = s\naffinity = true\n"
         "objective_ms = 400\nrequest_timeout_ms = 2000\n"
         "attempt_timeout_ms = 2000\n"
         "[route/once]\nhost = h\npath_prefix = /once/\n"
         "execution = single_attempt\nservice = s\nobjective_ms = 400\n"
         "request_timeout_ms = 2000\nattempt_timeout_ms = 2000\n"
         "[service/s]\nprobe_interval_ms = 0\n" +
         more_settings;
}

protocol::ListedEndpoint MakeListedEndpoint(const std::string& id,
                                            bool draining = false) {
  protocol::ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = 1;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:" + std::to_string(id.back());
  endpoint.failure_domain = "west-a";
  endpoint.slots = 2;
  endpoint.draining = draining;
  return endpoint;
}

EntryOptions MakeOptions() {
  EntryOptions options = EntryDriver::DefaultOptions();
  options.limits.count_refusals_as_retries = true;
  options.failure_domain_regions = {{"west-a", "west"}, {"west-b", "west"}};
  options.can_list_endpoints = true;
  return options;
}

/// Sends the leader's list of endpoints.
void SendEndpointList(EntryDriver& driver,
                      std::uint64_t version,
                      std::vector<protocol::ListedEndpoint> endpoints) {
  protocol::HeartbeatReply reply;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.endpoints.version = version;
  reply.endpoints.changed = std::move(endpoints);
  driver.Step(MessageReceived{"c1", reply});
}

EntryDriver MakeReadyDriver(const std::string& more_settings = "") {
  EntryDriver driver(MakeOptions());
  driver.ApplySettings(RouteSettingsText(more_settings));
  SendEndpointList(driver, 1,
                   {MakeListedEndpoint("a"), MakeListedEndpoint("b"),
                    MakeListedEndpoint("c")});
  return driver;
}

RequestTicket SendRequest(EntryDriver& driver,
                          const std::string& path,
                          const std::string& object = "",
                          Duration budget = Duration{0}) {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = path;
  arrival.object = object;
  arrival.budget = budget;
  driver.Step(arrival);
  return arrival.ticket;
}

}  // namespace

TEST_CASE("A request is routed by host and longest prefix") {
  EntryDriver driver = MakeReadyDriver(
      "[route/deep]\nhost = h\npath_prefix = /safe/x/\n"
      "service = s\n");
  SendRequest(driver, "/safe/x/1");
  REQUIRE(driver.attempts.size() == 1);
  CHECK(driver.attempts[0].execution == Execution::kSingleAttempt);
  SendRequest(driver, "/safe/y");
  CHECK(driver.attempts[1].execution == Execution::kRepeatable);
  const RequestTicket unknown = SendRequest(driver, "/other/");
  REQUIRE(driver.FindRefusal(unknown) != nullptr);
  CHECK(driver.FindRefusal(unknown)->error.kind == ErrorKind::kUnknownPath);
}

TEST_CASE(
    "Before its first settings, an entry refuses requests with a retry delay") {
  EntryDriver driver(MakeOptions());
  const RequestTicket ticket = SendRequest(driver, "/safe/x");
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->error.kind == ErrorKind::kNotReady);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  // Settings take seconds to arrive, so a caller that retries at once would be
  // refused again.
  CHECK(driver.FindRefusal(ticket)->retry_after >= 2s);
  CHECK(driver.FindRefusal(ticket)->retry_after <= 3s);
}

TEST_CASE(
    "A single-attempt request is retried only if it has certainly not run") {
  struct Case {
    AttemptEnd end;
    bool retried;
  };
  const Case test_case = GENERATE(Case{AttemptEnd::kRefused, true},
                                  Case{AttemptEnd::kMisdirected, true},
                                  Case{AttemptEnd::kNotConnected, true},
                                  Case{AttemptEnd::kConnectionLost, false},
                                  Case{AttemptEnd::kAnswerIncomplete, false},
                                  Case{AttemptEnd::kAmbiguousRefusal, false},
                                  Case{AttemptEnd::kTimedOut, false},
                                  Case{AttemptEnd::kAnsweredFailure, false});
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = SendRequest(driver, "/once/x");
  driver.EndAttempt(driver.attempts.at(0), test_case.end);
  CHECK((driver.attempts.size() == 2) == test_case.retried);
  if (!test_case.retried && test_case.end != AttemptEnd::kAnsweredFailure) {
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
    CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
  }
}

TEST_CASE(
    "A request that the owner of its slice refuses despite an idle slot is "
    "retried there") {
  struct Case {
    forwarding::LoadReport load;
    bool same_endpoint;
  };
  const Case test_case =
      GENERATE(Case{{0, 0, 2}, true}, Case{{1, 0, 2}, true},
               Case{{2, 0, 2}, false}, Case{{2, 6, 2}, false});
  EntryDriver driver = MakeReadyDriver();
  SendRequest(driver, "/safe/x", "17");
  const std::string owner = driver.attempts.at(0).endpoint;
  AttemptEnded ended;
  ended.ticket = driver.attempts[0].ticket;
  ended.end = AttemptEnd::kRefused;
  ended.load = test_case.load;
  driver.Step(ended);
  REQUIRE(driver.attempts.size() == 2);
  CHECK((driver.attempts[1].endpoint == owner) == test_case.same_endpoint);
}

TEST_CASE("New settings do not restart the warm-up of an endpoint") {
  EntryDriver driver =
      MakeReadyDriver("warmup_ms = 3000\nwarmup_per_1000_s = 1000\n");
  std::vector<protocol::ListedEndpoint> endpoints = {MakeListedEndpoint("a"),
                                                     MakeListedEndpoint("b"),
                                                     MakeListedEndpoint("c")};
  for (protocol::ListedEndpoint& endpoint : endpoints)
    endpoint.cold_for_ms = 3'000;
  SendEndpointList(driver, 2, endpoints);
  driver.AdvanceTime(4s);
  driver.ApplySettings(
      RouteSettingsText("warmup_ms = 3000\nwarmup_per_1000_s = 2000\n"));
  for (int i = 0; i < 4; ++i)
    SendRequest(driver, "/safe/x", "17");
  CHECK(driver.attempts.size() == 4);
}

TEST_CASE(
    "After an attempt with an unknown outcome, a refusal is not reported as "
    "not run") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = SendRequest(driver, "/safe/x");
  driver.EndAttempt(driver.attempts.at(0), AttemptEnd::kConnectionLost);
  driver.EndAttempt(driver.attempts.at(1), AttemptEnd::kRefused);
  driver.EndAttempt(driver.attempts.at(2), AttemptEnd::kRefused);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kUnknown);
}

TEST_CASE("The retry delay of a refused caller is shorter than its objective") {
  EntryDriver driver = MakeReadyDriver();
  const RequestTicket ticket = SendRequest(driver, "/once/x");
  for (std::size_t i = 0; i < driver.attempts.size(); ++i)
    driver.EndAttempt(driver.attempts[i], AttemptEnd::kRefused);
  REQUIRE(driver.FindRefusal(ticket) != nullptr);
  CHECK(driver.FindRefusal(ticket)->outcome == Outcome::kNotRun);
  CHECK(driver.FindRefusal(ticket)->retry_after > Duration{0});
  CHECK(driver.FindRefusal(ticket)->retry_after < 400ms);
}

TEST_CASE("An abandoned request frees its slot and its attempt is canceled") {
  EntryDriver driver = MakeReadyDriver("slots = 1\n");
  const RequestTicket ticket = SendRequest(driver, "/once/x");
  const EntryActions actions =
      driver.node.Step(RequestAbandoned{ticket}, driver.now);
  REQUIRE(actions.cancellations.size() == 1);
  CHECK(actions.cancellations[0].ticket == ticket);
  CHECK(driver.node.active_requests() == 0);
}

TEST_CASE(
    "The attempt timeout is bounded by the caller's budget and the route's "
    "timeout") {
  EntryDriver driver = MakeReadyDriver();
  SendRequest(driver, "/once/x", "", 500ms);
  SendRequest(driver, "/once/x", "", 10s);
  CHECK(driver.attempts.at(0).timeout == 500ms);
  CHECK(driver.attempts.at(1).timeout == 2s);
}

TEST_CASE(
    "Requests for one object go to one endpoint, and its slice is claimed") {
  EntryDriver driver = MakeReadyDriver();
  std::set<std::string> endpoints;
  for (int i = 0; i < 4; ++i) {
    SendRequest(driver, "/safe/x", "object-1");
    endpoints.insert(driver.attempts.back().endpoint);
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
  CHECK(endpoints.size() == 1);
  driver.AdvanceTime(200ms);
  bool claimed = false;
  for (const auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>()) {
    for (const protocol::SliceClaim& claim : heartbeat.claims)
      claimed |= claim.owner.endpoint == *endpoints.begin();
  }
  CHECK(claimed);
}

TEST_CASE("The slice owner set by the leader is preferred") {
  EntryDriver driver = MakeReadyDriver();
  protocol::HeartbeatReply reply;
  reply.leader = true;
  reply.leader_hint = "c1";
  reply.slices.version = (1ULL << 32U) + 1;
  for (const std::string& owner : {"a", "b", "c"}) {
    ++reply.slices.version;
    reply.slices.changed = {
        {"s", forwarding::SliceMap::SliceOf("object-1"), owner}};
    driver.Step(MessageReceived{"c1", reply});
    SendRequest(driver, "/safe/x", "object-1");
    CHECK(driver.attempts.back().endpoint == owner);
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
}

TEST_CASE(
    "A draining endpoint gets no new requests even if a later list does not "
    "show it as draining") {
  EntryDriver driver = MakeReadyDriver();
  SendEndpointList(driver, 2,
                   {MakeListedEndpoint("a"), MakeListedEndpoint("b", true),
                    MakeListedEndpoint("c", true)});
  SendEndpointList(driver, 3,
                   {MakeListedEndpoint("a"), MakeListedEndpoint("b", false),
                    MakeListedEndpoint("c", false)});
  for (int i = 0; i < 4; ++i) {
    SendRequest(driver, "/once/x");
    CHECK(driver.attempts.back().endpoint == "a");
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
}

TEST_CASE("The endpoints of a drained failure domain get no new requests") {
  EntryDriver driver = MakeReadyDriver();
  protocol::ListedEndpoint other = MakeListedEndpoint("d");
  other.failure_domain = "west-b";
  SendEndpointList(driver, 2, {MakeListedEndpoint("a"), other});
  const std::string drain =
      "[region/west/failure_domain/west-a]\ndrain = true\n";
  driver.ApplySettings(RouteSettingsText() + drain);
  for (int i = 0; i < 4; ++i) {
    SendRequest(driver, "/once/x");
    CHECK(driver.attempts.back().endpoint == "d");
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
}

TEST_CASE("A traffic split assigns exact shares over a hundred requests") {
  EntryDriver driver(MakeOptions());
  driver.ApplySettings(
      "[route/r]\nhost = h\npath_prefix = /\nsplit = s:90,t:10\n"
      "[service/s]\nprobe_interval_ms = 0\n[service/t]\nprobe_interval_ms = "
      "0\n");
  protocol::ListedEndpoint other = MakeListedEndpoint("t1");
  other.service = "t";
  SendEndpointList(driver, 1, {MakeListedEndpoint("a"), other});
  int to_other = 0;
  for (int i = 0; i < 100; ++i) {
    SendRequest(driver, "/x");
    to_other += driver.attempts.back().endpoint == "t1" ? 1 : 0;
    driver.EndAttempt(driver.attempts.back(), AttemptEnd::kAnswered);
  }
  CHECK(to_other == 10);
}

TEST_CASE("A route whose weights are all 0 refuses its requests at once") {
  EntryDriver driver(MakeOptions());
  driver.ApplySettings(
      "[route/r]\nhost = h\npath_prefix = /\nsplit = s:0,t:0\n"
      "[service/s]\nprobe_interval_ms = 0\n[service/t]\nprobe_interval_ms = "
      "0\n");
  SendEndpointList(driver, 1, {MakeListedEndpoint("a")});
  SendRequest(driver, "/x");
  CHECK(driver.attempts.empty());
  REQUIRE(driver.answers.size() == 1);
  const auto& refusal =
      std::get<entry::RefuseRequest>(driver.answers.begin()->second.body);
  CHECK(refusal.outcome == Outcome::kNotRun);
}

// Guards against hundreds of entries that start together and all read the list
// from the platform, which the leader sends them with the settings.
TEST_CASE(
    "An entry without settings reads no endpoint list, and with settings only "
    "if no leader sends one in time") {
  EntryDriver driver(MakeOptions());
  const auto reads_within = [&](Duration duration) {
    int reads = 0;
    for (const Time end = driver.now + duration; driver.now < end;) {
      driver.now += 20ms;
      EntryActions actions = driver.node.Step(Tick{}, driver.now);
      reads += actions.list_endpoints ? 1 : 0;
      for (const auto& message : actions.messages) {
        if (const auto* sent =
                std::get_if<protocol::Heartbeat>(&message.envelope))
          driver.last_heartbeat = *sent;
      }
    }
    return reads;
  };
  CHECK(reads_within(10s) == 0);
  CHECK(driver.last_heartbeat.status.isolated);
  driver.ApplySettings(RouteSettingsText());
  CHECK(driver.snapshot->awaits_endpoints);
  CHECK(reads_within(1s) == 0);
  SECTION("no list from a leader") {
    CHECK(reads_within(5s) >= 1);
    driver.Step(EndpointsListed{{MakeListedEndpoint("a")}});
  }
  SECTION("a list from a leader") {
    driver.AdvanceTime(100ms);
    SendEndpointList(driver, 1, {MakeListedEndpoint("a")});
    CHECK(reads_within(1s) == 0);
  }
  CHECK_FALSE(driver.node.session().self().isolated);
  SendRequest(driver, "/once/x");
  REQUIRE(driver.attempts.size() == 1);
  CHECK(driver.attempts[0].endpoint == "a");
}

// Guards against callers that are sent to an entry that has just started, by a
// first heartbeat that doesn't say so.
TEST_CASE("The first heartbeat of an entry says that it is starting") {
  EntryOptions options = MakeOptions();
  // Sequence numbers begin with the incarnation.
  options.self.incarnation = 0;
  EntryDriver driver(std::move(options));
  driver.Step(Tick{});
  REQUIRE(driver.last_heartbeat.sequence == 1);
  CHECK(driver.last_heartbeat.status.starting);
  CHECK(driver.last_heartbeat.status.isolated);
}

TEST_CASE(
    "Without contact with the control role, an entry reads the endpoint list "
    "itself") {
  EntryDriver driver = MakeReadyDriver();
  int listings = 0;
  for (int i = 0; i < 400; ++i) {
    driver.now += 20ms;
    if (driver.node.Step(Tick{}, driver.now).list_endpoints)
      ++listings;
  }
  CHECK(listings >= 3);
  CHECK(listings <= 8);
  driver.Step(EndpointsListed{{MakeListedEndpoint("d")}});
  SendRequest(driver, "/once/x");
  CHECK(driver.attempts.back().endpoint == "d");
}

// Guards against endpoints that are gone and come back.
TEST_CASE("A reading that began before the list in use was read is ignored") {
  EntryDriver driver = MakeReadyDriver();
  driver.AdvanceTime(4s);
  driver.Step(EndpointsListed{{MakeListedEndpoint("d")}});
  REQUIRE(driver.node.session().endpoints().count("d") == 1);
  driver.AdvanceTime(3s);
  const EndpointsListed older{
      {MakeListedEndpoint("e")}, /*is_complete=*/true, 3500ms};
  driver.Step(older);
  CHECK(driver.node.session().endpoints().count("d") == 1);
  CHECK(driver.node.session().endpoints().count("e") == 0);
}

}  // namespace jacinth::entry
