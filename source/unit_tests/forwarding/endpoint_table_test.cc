#include "core/forwarding/endpoint_table.h"

#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

settings::ServiceSettings MakeService(int endpoints, int slots) {
  settings::ServiceSettings service;
  service.probe_failures = 2;
  service.probe_interval = 100ms;
  for (int i = 0; i < endpoints; ++i) {
    service.endpoints.push_back({"p" + std::to_string(i),
                                 "127.0.0.1:" + std::to_string(i + 1),
                                 i % 2 == 0 ? "west" : "east",
                                 "a",
                                 slots,
                                 false,
                                 "",
                                 0,
                                 {}});
  }
  return service;
}

std::string ReserveWithoutObject(EndpointTable& table, Time now = kNow) {
  static std::uint64_t calls = 0;
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.random_value = Hash64("draw", ++calls);
  return table.ReserveSlot(endpoint_criteria, now).value_or("");
}

}  // namespace

TEST_CASE("Endpoints of the home region are preferred until they are full") {
  EndpointTable table;
  table.Update(MakeService(4, 1), kNow);
  std::set<std::string> local = {ReserveWithoutObject(table),
                                 ReserveWithoutObject(table)};
  CHECK(local == std::set<std::string>{"p0", "p2"});
  std::set<std::string> remote = {ReserveWithoutObject(table),
                                  ReserveWithoutObject(table)};
  CHECK(remote == std::set<std::string>{"p1", "p3"});
  CHECK(ReserveWithoutObject(table).empty());
}

TEST_CASE("Failing endpoints are ejected, but never more than half of them") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  for (int i = 0; i < 4; ++i) {
    for (int failure = 0; failure < 3; ++failure)
      table.OnProbeEnd("p" + std::to_string(i), ProbeEnd::kFailed, kNow);
  }
  CHECK(table.UsableSlots() == 20);
}

TEST_CASE(
    "An ejected endpoint returns with a healthy probe after the ejection "
    "time") {
  EndpointTable table;
  table.Update(MakeService(2, 1), kNow);
  table.OnProbeEnd("p0", ProbeEnd::kFailed, kNow);
  table.OnProbeEnd("p0", ProbeEnd::kFailed, kNow);
  CHECK(ReserveWithoutObject(table) == "p1");
  table.OnProbeEnd("p0", ProbeEnd::kHealthy, kNow + 500ms);
  CHECK(ReserveWithoutObject(table).empty());
  table.OnProbeEnd("p0", ProbeEnd::kHealthy, kNow + 1100ms);
  CHECK(ReserveWithoutObject(table) == "p0");
}

TEST_CASE("A settings update doesn't end the draining of an endpoint") {
  EndpointTable table;
  table.Update(MakeService(2, 1), kNow);
  table.OnProbeEnd("p0", ProbeEnd::kDraining, kNow);
  table.Update(MakeService(2, 1), kNow);
  CHECK(ReserveWithoutObject(table) == "p1");
  CHECK(ReserveWithoutObject(table).empty());
}

TEST_CASE("A removed endpoint stays until its requests in flight have ended") {
  EndpointTable table;
  table.Update(MakeService(2, 1), kNow);
  const std::string first = ReserveWithoutObject(table);
  settings::ServiceSettings service = MakeService(2, 1);
  service.endpoints.clear();
  table.Update(service, kNow);
  CHECK(table.inflight() == 1);
  CHECK(ReserveWithoutObject(table).empty());
  table.OnAttemptEnd(first, AttemptEnd::kAnswered, {}, kNow);
  CHECK(table.inflight() == 0);
}

TEST_CASE(
    "Refusals reduce the limit and answers raise it up to the slots again") {
  EndpointTable table;
  table.Update(MakeService(1, 10), kNow);
  REQUIRE(ReserveWithoutObject(table) == "p0");
  table.OnAttemptEnd("p0", AttemptEnd::kRefused, {}, kNow);
  CHECK(table.UsableSlots() == 7);
  CHECK(ReserveWithoutObject(table).empty());
  for (int i = 0; i < 100; ++i) {
    REQUIRE(ReserveWithoutObject(table, kNow + 20ms) == "p0");
    table.OnAttemptEnd("p0", AttemptEnd::kAnswered, {}, kNow + 20ms);
  }
  CHECK(table.UsableSlots() == 10);
}

TEST_CASE(
    "Requests for an object are sent to its owner while it has capacity") {
  EndpointTable table;
  table.Update(MakeService(6, 2), kNow);
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.slice_hash = 17;
  endpoint_criteria.owner = "p3";
  CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p3");
  CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p3");
  const auto spilled = table.ReserveSlot(endpoint_criteria, kNow);
  REQUIRE(spilled);
  CHECK(*spilled != "p3");
}

TEST_CASE(
    "Requests for an object queue at its owner if no slot is idle elsewhere") {
  EndpointTable table;
  settings::ServiceSettings service = MakeService(2, 2);
  service.endpoint_queue_percent = 300;
  service.endpoint_wait_percent = 200;
  table.Update(service, kNow);
  const auto report = [&](const std::string& name, int running) {
    EndpointCriteria any;
    any.owner = name;
    any.slice_hash = 1;
    REQUIRE(table.ReserveSlot(any, kNow) == name);
    table.OnAttemptEnd(name, AttemptEnd::kAnswered, LoadReport{running, 0, 2},
                       kNow);
  };
  report("p0", 0);
  report("p1", 2);
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.slice_hash = 1;
  endpoint_criteria.owner = "p0";
  for (int i = 0; i < 6; ++i)
    CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p0");
  // All slots of the other endpoint are in use, so no request is sent there
  // until its report has expired.
  CHECK_FALSE(table.ReserveSlot(endpoint_criteria, kNow));
  CHECK(table.ReserveSlot(endpoint_criteria, kNow + 4s) == "p1");
}

TEST_CASE("Above the owner's wait limit, idle slots elsewhere are preferred") {
  EndpointTable table;
  settings::ServiceSettings service = MakeService(2, 2);
  service.endpoint_queue_percent = 300;
  service.endpoint_wait_percent = 200;
  table.Update(service, kNow);
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.slice_hash = 1;
  endpoint_criteria.owner = "p0";
  REQUIRE(table.ReserveSlot(endpoint_criteria, kNow) == "p0");
  table.OnAttemptEnd("p0", AttemptEnd::kAnswered, LoadReport{0, 0, 2}, kNow);
  for (int i = 0; i < 4; ++i)
    CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p0");
  CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p1");
  CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p1");
  CHECK(table.ReserveSlot(endpoint_criteria, kNow) == "p0");
}

TEST_CASE(
    "In a busy service, requests spill from the owner only to endpoints with a "
    "recent report of idle slots") {
  EndpointTable table;
  settings::ServiceSettings service = MakeService(2, 2);
  service.endpoint_queue_percent = 300;
  service.endpoint_wait_percent = 200;
  table.Update(service, kNow);
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.slice_hash = 1;
  endpoint_criteria.owner = "p0";
  for (int i = 0; i < 40; ++i) {
    REQUIRE(table.ReserveSlot(endpoint_criteria, kNow) == "p0");
    table.OnAttemptEnd("p0", AttemptEnd::kAnswered, LoadReport{2, 0, 2}, kNow);
  }
  // The other endpoint has sent no report, so its estimated load is zero.
  const Time later = kNow + 4s;
  for (int i = 0; i < 6; ++i)
    CHECK(table.ReserveSlot(endpoint_criteria, later) == "p0");
  CHECK_FALSE(table.ReserveSlot(endpoint_criteria, later));
  SECTION(
      "an endpoint that has just reported idle slots receives the request") {
    table.OnAttemptEnd("p1", AttemptEnd::kAnswered, LoadReport{0, 0, 2}, later);
    CHECK(table.ReserveSlot(endpoint_criteria, later) == "p1");
  }
  SECTION("requests are sent elsewhere if the owner is excluded") {
    endpoint_criteria.excluded_endpoints = {"p0"};
    CHECK(table.ReserveSlot(endpoint_criteria, later) == "p1");
  }
  SECTION("requests for objects without an owner are sent elsewhere") {
    endpoint_criteria.owner = "";
    CHECK(table.ReserveSlot(endpoint_criteria, later) == "p1");
  }
}

TEST_CASE(
    "Timeouts eject an endpoint that has stopped answering, but not a busy "
    "one") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  const std::string busy = ReserveWithoutObject(table);
  // All slots are in use, and as many requests are queued.
  table.OnAttemptEnd(busy, AttemptEnd::kAnswered, LoadReport{10, 10, 10}, kNow);
  for (int i = 0; i < 6; ++i)
    table.OnAttemptEnd(busy, AttemptEnd::kTimedOut, {}, kNow + 500ms);
  CHECK(table.CanReceiveRequests(busy));
  for (int i = 0; i < 6; ++i)
    table.OnAttemptEnd(busy, AttemptEnd::kTimedOut, {}, kNow + 5s);
  CHECK_FALSE(table.CanReceiveRequests(busy));
}

TEST_CASE("An endpoint that fails two of three requests is ejected") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  for (int i = 0; i < 9 && table.CanReceiveRequests("p0"); ++i) {
    table.OnAttemptEnd(
        "p0", i % 3 == 0 ? AttemptEnd::kAnswered : AttemptEnd::kConnectionLost,
        {}, kNow);
  }
  CHECK_FALSE(table.CanReceiveRequests("p0"));
}

TEST_CASE("An endpoint that answers with failures is ejected") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  for (int i = 0; i < 12 && table.CanReceiveRequests("p0"); ++i) {
    for (const std::string other : {"p1", "p2", "p3"})
      table.OnAttemptEnd(other, AttemptEnd::kAnswered, {}, kNow);
    table.OnAttemptEnd(
        "p0", i % 3 == 0 ? AttemptEnd::kAnswered : AttemptEnd::kAnsweredFailure,
        {}, kNow);
  }
  CHECK_FALSE(table.CanReceiveRequests("p0"));
}

TEST_CASE("Soft failures common to all endpoints of a service eject none") {
  const AttemptEnd end = GENERATE(AttemptEnd::kTimedOut, AttemptEnd::kRefused,
                                  AttemptEnd::kAnsweredFailure);
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  // Alternates answers and failures, so that the average shows a service-wide
  // failure.
  for (int i = 0; i < 60; ++i) {
    const std::string name = "p" + std::to_string(i % 4);
    const bool fails = i % 8 >= 4 || i < 3;
    table.OnAttemptEnd(name, fails ? end : AttemptEnd::kAnswered,
                       LoadReport{1, 0, 10}, kNow + i * 1s);
  }
  CAPTURE(AttemptEndName(end));
  for (int i = 0; i < 20; ++i) {
    table.OnAttemptEnd("p0", end, LoadReport{1, 0, 10}, kNow + 100s + i * 2s);
    CHECK(table.CanReceiveRequests("p0"));
  }
  // Connection failures are always attributed to the endpoint.
  for (int i = 0; i < 2; ++i)
    table.OnAttemptEnd("p1", AttemptEnd::kNotConnected, {}, kNow + 200s);
  CHECK_FALSE(table.CanReceiveRequests("p1"));
}

TEST_CASE("Refusals eject an endpoint only if it has idle slots") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  for (int i = 0; i < 4; ++i) {
    table.OnAttemptEnd("p0", AttemptEnd::kRefused, LoadReport{2, 0, 10}, kNow);
    table.OnAttemptEnd("p1", AttemptEnd::kRefused, LoadReport{10, 30, 10},
                       kNow);
  }
  CHECK_FALSE(table.CanReceiveRequests("p0"));
  CHECK(table.CanReceiveRequests("p1"));
}

TEST_CASE("When an endpoint is removed, only the objects placed there move") {
  const auto single_region_service = [](int endpoints) {
    settings::ServiceSettings service = MakeService(endpoints, 100);
    for (settings::EndpointSettings& endpoint : service.endpoints)
      endpoint.region = "west";
    return service;
  };
  EndpointTable table;
  table.Update(single_region_service(12), kNow);
  const auto select_endpoint = [&](std::uint64_t object) {
    EndpointCriteria endpoint_criteria;
    endpoint_criteria.home_region = "west";
    endpoint_criteria.slice_hash = object;
    const auto chosen = table.ReserveSlot(endpoint_criteria, kNow);
    table.OnAttemptEnd(*chosen, AttemptEnd::kAnswered, {}, kNow);
    return *chosen;
  };
  std::map<std::uint64_t, std::string> original;
  for (std::uint64_t object = 1; object <= 200; ++object)
    original[object] = select_endpoint(Hash64("object", object));
  settings::ServiceSettings service = single_region_service(12);
  service.endpoints.erase(service.endpoints.begin());
  table.Update(service, kNow);
  for (std::uint64_t object = 1; object <= 200; ++object) {
    if (original[object] != "p0")
      CHECK(select_endpoint(Hash64("object", object)) == original[object]);
  }
}

TEST_CASE(
    "An endpoint added later is cold and receives one request per interval") {
  EndpointTable table;
  settings::ServiceSettings service = MakeService(1, 10);
  service.warmup = 3s;
  service.warmup_per_s = 4;
  table.Update(service, kNow);
  table.SetWarmupGate(
      WarmupGate(SenderHistory(SenderSelection("e1", {"e1"})), 4));
  service.endpoints = MakeService(2, 10).endpoints;
  service.endpoints.erase(service.endpoints.begin());
  table.Update(service, kNow);
  CHECK(ReserveWithoutObject(table) == "p1");
  CHECK(ReserveWithoutObject(table).empty());
  CHECK(ReserveWithoutObject(table, kNow + WarmupGate::interval()) == "p1");
  const Time warm_time = kNow + 3s;
  CHECK(ReserveWithoutObject(table, warm_time) == "p1");
  CHECK(ReserveWithoutObject(table, warm_time) == "p1");
}

TEST_CASE(
    "An endpoint whose address another one uses receives no more requests") {
  EndpointTable table;
  table.Update(MakeService(2, 10), kNow);
  const std::string first = ReserveWithoutObject(table);
  table.OnAttemptEnd(first, AttemptEnd::kMisdirected, {}, kNow);
  for (int i = 0; i < 5; ++i)
    CHECK(ReserveWithoutObject(table) != first);
}

TEST_CASE("Requests are sent only to the regions that are allowed") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = "west";
  endpoint_criteria.regions = {"east"};
  for (int i = 0; i < 10; ++i) {
    endpoint_criteria.random_value = Hash64("d", static_cast<std::uint64_t>(i));
    const auto chosen = table.ReserveSlot(endpoint_criteria, kNow);
    REQUIRE(chosen);
    CHECK(table.Find(*chosen)->region == "east");
  }
}

// Guards against an entry that gets no share of any rate limit, and refuses
// everything, because its demand counts for an endpoint that it can't use.
TEST_CASE("Refused requests of an ejected owner are demand for the others") {
  EndpointTable table;
  table.Update(MakeService(4, 10), kNow);
  for (const char* name : {"p0", "p1", "p2"})
    table.OnRateLimitNotice(name, {2.0}, kNow);
  table.OnProbeEnd("p0", ProbeEnd::kFailed, kNow);
  table.OnProbeEnd("p0", ProbeEnd::kFailed, kNow);
  REQUIRE_FALSE(table.CanReceiveRequests("p0"));
  for (int i = 0; i < 10; ++i)
    table.CountRefusedDemand("p0", kNow);
  std::map<std::string, double> demand;
  for (const auto& report : table.TakeRateLimitReports(1, kNow + 500ms))
    demand[report.key.endpoint] = report.demand_per_s;
  CHECK(demand.at("p0") == 0);
  CHECK(demand.at("p1") > 0);
  CHECK(demand.at("p2") == demand.at("p1"));
}

// Guards against shares of a new rate limit that follow how long an entry has
// been running instead of what it needs.
TEST_CASE("The demand reported for a new rate limit is the current one") {
  EndpointTable table;
  table.Update(MakeService(1, 10), kNow);
  Time now = kNow;
  for (int i = 0; i < 1'000; ++i) {
    now += 100ms;
    REQUIRE(ReserveWithoutObject(table, now) == "p0");
    table.OnAttemptEnd("p0", AttemptEnd::kAnswered, {}, now);
  }
  table.OnRateLimitNotice("p0", {5.0}, now);
  const auto reports = table.TakeRateLimitReports(1, now);
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().demand_per_s > 8);
  CHECK(reports.front().demand_per_s < 12);
  const auto later = table.TakeRateLimitReports(2, now + 10s);
  REQUIRE(later.size() == 1);
  CHECK(later.front().demand_per_s < 0.1);
}

}  // namespace jacinth::forwarding
