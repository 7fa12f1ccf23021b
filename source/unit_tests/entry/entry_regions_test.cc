#include <array>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// A route `/fill/` to service `s`, which has endpoints in two regions.
std::string ServiceText(int slots) {
  return "retry_budget_percent = 100\n"
         "[service/s]\nslots = " +
         std::to_string(slots) +
         "\nttl_ms = 1000\nprobe_interval_ms = 600000\n"
         "[service/s/endpoint/near]\naddress = 127.0.0.1:11\nregion = west\n"
         "failure_domain = west-a\n"
         "[service/s/endpoint/far]\naddress = 127.0.0.1:12\nregion = east\n"
         "failure_domain = east-a\n"
         "[route/fill]\nhost = h\npath_prefix = /fill/\nservice = s\n"
         "request_timeout_ms = 2000\n";
}

std::string RouteText(const std::string& prefix, const std::string& regions) {
  return "[route/" + std::to_string(prefix.size()) +
         "]\nhost = h\npath_prefix = " + prefix +
         "\nservice = s\nexecution = repeatable\naffinity = true\n"
         "request_timeout_ms = 2000\nattempt_timeout_ms = 500\n"
         "max_attempts = 3\n" +
         (regions.empty() ? "" : "regions = " + regions + "\n");
}

void ApplyRoutes(EntryDriver& driver,
                 const std::string& routes,
                 int slots = 1) {
  driver.ApplySettings(ServiceText(slots) + routes);
}

RequestTicket SendRequest(EntryDriver& driver,
                          const std::string& path,
                          const std::string& object = "") {
  RequestArrived arrival;
  arrival.ticket = ++driver.last_ticket;
  arrival.host = "h";
  arrival.method = "GET";
  arrival.path = path;
  arrival.object = object;
  driver.Step(arrival);
  return arrival.ticket;
}

}  // namespace

// Guards against sending requests that have waited to regions that their route
// doesn't allow any more (docs/incidents/home.md).
TEST_CASE("A request that waits is sent by the newest regions of its route") {
  struct Case {
    std::string name;
    std::string before;
    std::string after;
    std::string endpoint;
  };
  const Case test_case = GENERATE(
      Case{"other regions", RouteText("/a/", "west"), RouteText("/a/", "east"),
           "far"},
      Case{"regions for the first time", RouteText("/a/", ""),
           RouteText("/a/", "east"), "far"},
      Case{"no regions any more", RouteText("/a/", "east"),
           RouteText("/a/", ""), "near"},
      Case{"a deeper route matches now", RouteText("/a/", "west"),
           RouteText("/a/", "west") + RouteText("/a/b/", "east"), "far"},
      Case{"the deeper route is gone",
           RouteText("/a/", "east") + RouteText("/a/b/", "west"),
           RouteText("/a/", "east"), "far"},
      Case{"no route is left", RouteText("/a/", "east"), "", "far"});
  INFO(test_case.name);
  const std::string object = GENERATE("", "object-1");
  EntryDriver driver;
  ApplyRoutes(driver, test_case.before);
  SendRequest(driver, "/fill/x");
  SendRequest(driver, "/fill/x");
  REQUIRE(driver.attempts.size() == 2);
  const RequestTicket ticket = SendRequest(driver, "/a/b/x", object);
  REQUIRE(driver.attempts.size() == 2);
  // Both endpoints have a free slot now.
  ApplyRoutes(driver, test_case.after, /*slots=*/2);
  REQUIRE(driver.attempts.size() == 3);
  CHECK(driver.attempts[2].ticket == ticket);
  CHECK(driver.attempts[2].endpoint == test_case.endpoint);
}

// Guards against a request that is sent to the service of its old route in a
// region that only another route, to another service, allows.
TEST_CASE(
    "A request that waits is not sent to its old service by the regions "
    "of another service's route") {
  const std::string other_service = "[service/t]\nprobe_interval_ms = 0\n";
  std::string other_route = RouteText("/a/", "");
  other_route.replace(other_route.find("service = s"), 11, "service = t");
  EntryDriver driver;
  ApplyRoutes(driver, other_service + other_route + RouteText("/a/b/", "west"));
  SendRequest(driver, "/fill/x");
  SendRequest(driver, "/fill/x");
  REQUIRE(driver.attempts.size() == 2);
  const RequestTicket ticket = SendRequest(driver, "/a/b/x");
  REQUIRE(driver.attempts.size() == 2);
  // The route to `s` in the west is gone; the one that matches now leads to
  // `t`.
  ApplyRoutes(driver, other_service + other_route);
  // Only the endpoint of `s` in the east has a free slot.
  for (const StartAttempt& attempt : std::vector(driver.attempts)) {
    if (attempt.endpoint == "far")
      driver.EndAttempt(attempt, AttemptEnd::kAnswered);
  }
  for (const StartAttempt& attempt : driver.attempts) {
    if (attempt.ticket == ticket)
      CHECK(attempt.endpoint != "far");
  }
}

// Guards against repeats in regions that the route doesn't allow any more
// (docs/incidents/home.md).
TEST_CASE("A repeat is sent by the newest regions of its route") {
  EntryDriver driver;
  ApplyRoutes(driver, RouteText("/a/", "west"));
  const auto end = GENERATE(AttemptEnd::kConnectionLost, AttemptEnd::kRefused,
                            AttemptEnd::kNotConnected);
  const RequestTicket ticket = SendRequest(driver, "/a/x");
  REQUIRE(driver.attempts.size() == 1);
  REQUIRE(driver.attempts[0].endpoint == "near");
  SECTION("which are others") {
    ApplyRoutes(driver, RouteText("/a/", "east"));
    driver.EndAttempt(driver.attempts[0], end);
    REQUIRE(driver.attempts.size() == 2);
    CHECK(driver.attempts[1].ticket == ticket);
    CHECK(driver.attempts[1].endpoint == "far");
  }
  SECTION("or refused if no endpoint is in them") {
    ApplyRoutes(driver, RouteText("/a/", "north"));
    driver.EndAttempt(driver.attempts[0], end);
    CHECK(driver.attempts.size() == 1);
    REQUIRE(driver.FindRefusal(ticket) != nullptr);
  }
}

// Guards against bytes that leave for a region that the newest settings don't
// allow, however the request got there (docs/incidents/home.md).
TEST_CASE("Property: attempts keep to the newest regions of their route") {
  const bool passed = rc::check([] {
    constexpr std::array<const char*, 3> kRegions = {"", "west", "east"};
    constexpr std::array<const char*, 2> kPaths = {"/a/x", "/a/b/x"};
    constexpr std::array<AttemptEnd, 5> kEnds = {
        AttemptEnd::kAnswered, AttemptEnd::kRefused, AttemptEnd::kNotConnected,
        AttemptEnd::kConnectionLost, AttemptEnd::kTimedOut};
    EntryDriver driver;
    std::array<std::string, 2> regions;
    std::map<RequestTicket, std::size_t> route_of;
    std::map<RequestTicket, StartAttempt> open;
    std::size_t checked = 0;
    const auto check_attempts = [&] {
      for (; checked < driver.attempts.size(); ++checked) {
        const StartAttempt& attempt = driver.attempts[checked];
        const std::string& allowed = regions.at(route_of.at(attempt.ticket));
        const std::string region = attempt.endpoint == "far" ? "east" : "west";
        RC_ASSERT(allowed.empty() || allowed == region);
        open[attempt.ticket] = attempt;
      }
    };
    const auto apply_routes = [&] {
      // Requests go by the old regions until the reply arrives.
      driver.AdvanceTime(100ms);
      check_attempts();
      const std::string deeper_regions = kRegions.at(*rc::gen::inRange(0, 3));
      const bool has_deeper = *rc::gen::arbitrary<bool>();
      regions[0] = kRegions.at(*rc::gen::inRange(0, 3));
      regions[1] = has_deeper ? deeper_regions : regions[0];
      driver.settings_text =
          ServiceText(*rc::gen::inRange(1, 3)) + RouteText("/a/", regions[0]);
      if (has_deeper)
        driver.settings_text += RouteText("/a/b/", regions[1]);
      ++driver.revision;
      driver.AnswerHeartbeat();
    };
    apply_routes();
    const int steps = *rc::gen::inRange(5, 60);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          apply_routes();
          break;
        case 1:
          driver.AdvanceTime(100ms);
          driver.AnswerHeartbeat();
          break;
        case 2:
          if (open.empty())
            break;
          driver.EndAttempt(open.extract(open.begin()).mapped(),
                            kEnds.at(*rc::gen::inRange(0, 5)));
          break;
        default:
          const auto route = *rc::gen::inRange<std::size_t>(0, 2);
          route_of[driver.last_ticket + 1] = route;
          SendRequest(driver, kPaths.at(route),
                      *rc::gen::arbitrary<bool>() ? "object-1" : "");
      }
      check_attempts();
    }
  });
  CHECK(passed);
}

}  // namespace jacinth::entry
