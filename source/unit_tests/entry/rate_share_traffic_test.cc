#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/wire/envelope_codec.h"
#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;
using test::NarrowFleet;

constexpr int kEntries = 40;
constexpr int kEndpoints = 60;
constexpr double kLimit = 500;
/// Time that an update takes to reach all entries, and one that is lost.
constexpr Duration kDelivery = 2s;

const std::vector<protocol::BranchChange> kSettings = {
    {"service/s", {{"probe_interval_ms", "0"}}},
    {"route/safe",
     {{"host", "h"},
      {"path_prefix", "/"},
      {"execution", "repeatable"},
      {"service", "s"},
      {"request_timeout_ms", "8000"},
      {"attempt_timeout_ms", "8000"}}}};

/// A fleet all of whose endpoints have named a rate limit.
struct Fleet {
  Fleet() : fleet(kEntries) {
    fleet.Change(kSettings);
    std::vector<protocol::ListedEndpoint> endpoints(kEndpoints);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      endpoints[i].id = "i-" + std::to_string(i);
      endpoints[i].started_ms = 1;
      endpoints[i].service = "s";
      endpoints[i].address = "10.0.0." + std::to_string(i) + ":8080";
      endpoints[i].failure_domain = "west-a";
      endpoints[i].slots = 64;
    }
    fleet.ListEndpoints(endpoints);
    fleet.Run(3s);
    std::set<std::string> named;
    for (int i = 0; i < 100 * kEndpoints && named.size() < kEndpoints; ++i)
      named.insert(SendRequest(kLimit));
    REQUIRE(named.size() == kEndpoints);
    fleet.Run(kDelivery);
    REQUIRE(AllHoldSameShares());
  }

  /// Lets an endpoint answer a request of the first entry and name its limit,
  /// or none. Returns the endpoint.
  std::string SendRequest(std::optional<double> limit) {
    EntryDriver& driver = *fleet.entries().front().driver;
    driver.attempts.clear();
    RequestArrived arrival;
    arrival.ticket = ++driver.last_ticket;
    arrival.host = "h";
    arrival.method = "GET";
    arrival.path = "/x";
    driver.Step(arrival);
    REQUIRE(driver.attempts.size() == 1);
    AttemptEnded ended;
    ended.ticket = driver.attempts[0].ticket;
    ended.end = AttemptEnd::kAnswered;
    ended.rate_limit = forwarding::RateLimitNotice{limit};
    driver.Step(ended);
    return driver.attempts[0].endpoint;
  }

  /// Returns true if all entries know the same limits.
  bool AllHoldSameShares() {
    const auto limits_of = [](const test::NarrowEntry& entry) {
      std::map<std::string, double> limits;
      for (const auto& share : entry.session().rate_shares().shares)
        limits[share.key.endpoint] = share.limit_per_s;
      return limits;
    };
    const auto limits = limits_of(fleet.entries().front());
    for (const test::NarrowEntry& entry : fleet.entries()) {
      if (limits_of(entry) != limits)
        return false;
    }
    return !limits.empty();
  }

  /// Returns the number of entries that know the limit of the endpoint.
  int CountKnowing(const std::string& endpoint, double limit) {
    int count = 0;
    for (const test::NarrowEntry& entry : fleet.entries()) {
      for (const auto& share : entry.session().rate_shares().shares) {
        count += share.key.endpoint == endpoint && share.limit_per_s == limit
                     ? 1
                     : 0;
      }
    }
    return count;
  }

  /// Returns the number of limits that the entry's heartbeats report.
  std::size_t CountReports(std::size_t entry, Duration duration) {
    EntryDriver& driver = *fleet.entries()[entry].driver;
    std::size_t count = 0;
    const Time end = driver.now + duration;
    while (driver.now < end) {
      const std::uint64_t sequence = driver.last_heartbeat.sequence;
      fleet.Run(NarrowFleet::kStep);
      if (driver.last_heartbeat.sequence != sequence)
        count += driver.last_heartbeat.rate_limits.size();
    }
    return count;
  }

  /// Returns the bytes that an entry gets within the time of a delivery.
  std::size_t BytesPerEntry() {
    const std::size_t before = fleet.sent_bytes();
    fleet.Run(kDelivery);
    return (fleet.sent_bytes() - before) / kEntries;
  }

  NarrowFleet fleet;
};

// Returns the size of the shares of `count` limits.
std::size_t ListBytes(int count) {
  protocol::HeartbeatReply reply;
  reply.rate_shares.version = 1;
  const std::size_t empty = wire::EncodeEnvelope(reply).size();
  for (int i = 0; i < count; ++i)
    reply.rate_shares.shares.push_back(
        {{"s", "i-" + std::to_string(i)}, 1, kLimit, 1});
  return wire::EncodeEnvelope(reply).size() - empty;
}

}  // namespace

// Guards against a leader whose time goes into sending all limits to all
// entries again, so that settings reach them seconds late
// (docs/incidents/home.md).
TEST_CASE("A limit that changes isn't sent along with all others") {
  Fleet test;
  const std::size_t calm = test.BytesPerEntry();
  const std::string endpoint = test.SendRequest(kLimit / 2);
  const std::size_t with_change = test.BytesPerEntry();
  CAPTURE(calm, with_change, ListBytes(kEndpoints));
  CHECK(with_change < calm + ListBytes(kEndpoints) / 4);
  CHECK(test.CountKnowing(endpoint, kLimit / 2) == kEntries);
}

// Guards against a leader whose time goes into reports of limits from entries
// that send nothing to the endpoints, so that settings reach them seconds late
// (docs/incidents/home.md).
TEST_CASE("Entries don't report limits again that don't concern them") {
  Fleet test;
  test.fleet.Run(3s);
  CHECK(test.CountReports(1, 5s) <= kEndpoints);
  const std::string endpoint = test.SendRequest(kLimit / 2);
  CHECK(test.CountReports(0, 1s) >= 1);
}

// Guards against limits that a new leader lifts, as nobody who knows of them
// has reported them to it before it tells the entries its shares.
TEST_CASE("A new leader learns of limits that concern no requests") {
  Fleet test;
  test.fleet.Run(4s);
  test.fleet.ReplaceLeader();
  const Time end = test.fleet.entries().front().driver->now + 6s;
  int fewest = kEntries;
  while (test.fleet.entries().front().driver->now < end) {
    test.fleet.Run(NarrowFleet::kStep);
    fewest = std::min(fewest, test.CountKnowing("i-0", kLimit));
  }
  const std::uint64_t term = test.fleet.node().replica()->term();
  CHECK(test.fleet.entries().back().session().rate_shares().version >> 32U ==
        term);
  CHECK(fewest == kEntries);
  CHECK(test.AllHoldSameShares());
}

// Guards against entries that keep a limit that has changed or ended, because
// the message with the change was lost.
TEST_CASE("Entries know the limits although messages with changes were lost") {
  Fleet test;
  test.fleet.LoseMessages(true);
  const std::string endpoint = test.SendRequest(kLimit / 2);
  test.fleet.Run(700ms);
  test.fleet.LoseMessages(false);
  test.SendRequest(kLimit / 4);
  test.fleet.Run(kDelivery);
  CHECK(test.AllHoldSameShares());
  CHECK(test.CountKnowing(endpoint, kLimit / 2) +
            test.CountKnowing(endpoint, kLimit / 4) ==
        kEntries);
}

}  // namespace jacinth::entry
