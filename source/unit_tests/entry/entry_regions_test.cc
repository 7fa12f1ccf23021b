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

}  // namespace jacinth::entry
