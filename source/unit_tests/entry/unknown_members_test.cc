#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using test::EntryDriver;

/// Number of entries of a large deployment.
constexpr int kEntries = 185;
constexpr double kWarmupPerSecond = 6;
constexpr double kRetryRatio = 0.2;
constexpr int kRetryReserve = 60;
constexpr const char* kColdEndpoint = "cold";

std::string RouteSettingsText() {
  return "[route/r]\nhost = h\npath_prefix = /\nexecution = repeatable\n"
         "service = s\nrequest_timeout_ms = 2000\nmax_attempts = 2\n"
         "[service/s]\nprobe_interval_ms = 0\nwarmup_ms = 3000\n"
         "warmup_per_1000_s = 6000\n";
}

protocol::ListedEndpoint MakeListed(const std::string& id,
                                    std::int64_t cold_for_ms) {
  protocol::ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = 1;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:" + std::to_string(1 + id.size());
  endpoint.failure_domain = "west-a";
  endpoint.slots = 100;
  endpoint.cold_for_ms = cold_for_ms;
  return endpoint;
}

/// Entries that have all started anew: the leader has sent settings and the
/// list of endpoints, but doesn't know the members of the fleet yet.
class RestartedFleet {
 public:
  RestartedFleet() {
    for (int i = 0; i < kEntries; ++i) {
      EntryOptions options = EntryDriver::DefaultOptions();
      options.self.id = "e" + std::to_string(i);
      options.can_list_endpoints = true;
      options.failure_domain_regions = {{"west-a", "west"}};
      options.limits.count_refusals_as_retries = true;
      options.limits.retry_ratio = kRetryRatio;
      options.limits.retry_reserve = kRetryReserve;
      entries_.emplace_back(options);
      Start(entries_.back());
    }
  }

  std::vector<EntryDriver>& entries() { return entries_; }

  /// Sends each entry a request, and returns the attempts that begin.
  std::vector<StartAttempt> SendRequests() {
    std::vector<StartAttempt> attempts;
    for (EntryDriver& entry : entries_) {
      RequestArrived arrival;
      arrival.ticket = ++entry.last_ticket;
      arrival.host = "h";
      arrival.method = "GET";
      arrival.path = "/";
      const std::size_t before = entry.attempts.size();
      entry.Step(arrival);
      for (std::size_t i = before; i < entry.attempts.size(); ++i)
        attempts.push_back(entry.attempts[i]);
    }
    return attempts;
  }

 private:
  static void Start(EntryDriver& entry) {
    entry.settings_text = RouteSettingsText();
    entry.Step(Tick{});
    protocol::HeartbeatReply reply;
    reply.sequence = entry.last_heartbeat.sequence;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.revision = 1;
    reply.update.revision = 1;
    reply.update.text = entry.settings_text;
    reply.update.checksum = Hash64(entry.settings_text);
    reply.endpoints.version = 1;
    reply.endpoints.changed = {MakeListed(kColdEndpoint, 60'000),
                               MakeListed("warm-1", 0),
                               MakeListed("warm-22", 0)};
    entry.Step(MessageReceived{"c1", reply});
  }

  std::vector<EntryDriver> entries_;
};

}  // namespace

// Guards against entries that take themselves for the only ones until they know
// the others, so that all of them send to an endpoint that is cold.
TEST_CASE("Entries that don't know each other yet spare a cold endpoint") {
  RestartedFleet fleet;
  int to_cold = 0;
  int to_others = 0;
  constexpr int kRequests = 5;
  for (int request = 0; request < kRequests; ++request) {
    for (const StartAttempt& attempt : fleet.SendRequests())
      ++(attempt.endpoint == kColdEndpoint ? to_cold : to_others);
  }
  CHECK(to_cold + to_others == kRequests * kEntries);
  CHECK(to_cold <= kWarmupPerSecond);
}

// Guards against a reserve of retries that each of many entries takes for its
// own until it knows the others.
TEST_CASE(
    "Entries that don't know each other yet share the reserve of retries") {
  RestartedFleet fleet;
  int requests = 0;
  int retries = 0;
  for (int i = 0; i < 3; ++i) {
    requests += kEntries;
    fleet.SendRequests();
    for (EntryDriver& entry : fleet.entries()) {
      const std::size_t before = entry.attempts.size();
      const StartAttempt attempt = entry.attempts.back();
      entry.EndAttempt(attempt, AttemptEnd::kRefused);
      retries += static_cast<int>(entry.attempts.size() - before);
    }
  }
  CHECK(retries <= kRetryRatio * requests + kRetryReserve);
}

}  // namespace jacinth::entry
