#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::NarrowEntry;
using test::NarrowFleet;

/// Number of entries of a large deployment.
constexpr int kEntries = 185;
/// Requests a second that a cold endpoint takes, and what is added to one and a
/// half times that.
constexpr int kWarmupPer1000Seconds = 4'200;
constexpr double kWarmupFactor = 1.5;
constexpr double kWarmupSlack = 10;
constexpr double kMaxPerSecond =
    kWarmupPer1000Seconds / 1000.0 * kWarmupFactor + kWarmupSlack;
constexpr double kRetryRatio = 0.2;
constexpr int kRetryReserve = 410;
constexpr Duration kRetryWindow = 10s;
constexpr int kEndpoints = 6;
/// Interval at which each entry gets a request.
constexpr Duration kRequestInterval = 100ms;

/// All machines of a fleet lose power, the replica first, and entries start one
/// after the other beside endpoints that are cold.
class RestartedFleet {
 public:
  /// The last entry starts after `spread`.
  RestartedFleet(Duration spread, std::int64_t cold_for_ms) : fleet_(kEntries) {
    fleet_.Change(
        {{"service/s",
          {{"probe_interval_ms", "0"},
           {"warmup_ms", "3000"},
           {"warmup_per_1000_s", std::to_string(kWarmupPer1000Seconds)}}},
         {"route/r",
          {{"host", "h"},
           {"path_prefix", "/"},
           {"execution", "repeatable"},
           {"service", "s"},
           {"request_timeout_ms", "2000"},
           {"max_attempts", "2"}}}});
    std::vector<protocol::ListedEndpoint> endpoints;
    for (int i = 0; i < kEndpoints; ++i) {
      protocol::ListedEndpoint endpoint;
      endpoint.id = "p" + std::to_string(i);
      endpoint.started_ms = 1;
      endpoint.service = "s";
      endpoint.address = "10.0.0.1:" + std::to_string(i + 1);
      endpoint.failure_domain = "west-a";
      endpoint.slots = 100;
      endpoint.cold_for_ms = cold_for_ms;
      endpoints.push_back(endpoint);
    }
    fleet_.ListEndpoints(endpoints);
    fleet_.ReplaceLeader();
    for (NarrowEntry& entry : fleet_.entries()) {
      entry.is_down = true;
      entry.deliveries.clear();
    }
    for (int i = 0; i < kEntries; ++i)
      start_times_.push_back(spread * ((i * 37) % kEntries) / kEntries);
  }

  /// Runs, while each entry gets requests, whose attempts end so.
  void Run(Duration duration, forwarding::AttemptEnd end) {
    const Duration until = elapsed_ + duration;
    while (elapsed_ < until) {
      elapsed_ += NarrowFleet::kStep;
      for (std::size_t i = 0; i < start_times_.size(); ++i)
        StartIfDue(i);
      fleet_.Run(NarrowFleet::kStep);
      for (std::size_t i = 0; i < start_times_.size(); ++i)
        SendRequest(i, end);
    }
  }

  /// Returns the highest number of requests that one endpoint got in a second.
  std::size_t MostPerSecond() const {
    std::size_t most = 0;
    for (const auto& [endpoint, times] : sent_) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[first] + 1s <= times[last])
          ++first;
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }

  /// Returns by how many the retries of a retry window exceeded the part that
  /// its requests allow.
  double MostReserveUsed() const {
    double most = 0;
    double used = 0;
    std::deque<std::pair<Duration, double>> window;
    for (Duration at{0}; at <= elapsed_; at += NarrowFleet::kStep) {
      const auto count = [&](const std::map<Duration, int>& counts) {
        const auto found = counts.find(at);
        return found == counts.end() ? 0 : found->second;
      };
      const double step = count(retries_) - kRetryRatio * count(requests_);
      window.emplace_back(at, step);
      used += step;
      while (window.front().first + kRetryWindow <= at) {
        used -= window.front().second;
        window.pop_front();
      }
      most = std::max(most, used);
    }
    return most;
  }

  std::size_t sent() const {
    std::size_t count = 0;
    for (const auto& [endpoint, times] : sent_)
      count += times.size();
    return count;
  }

 private:
  static EntryOptions Options(const std::string& id) {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.self.id = id;
    options.self.incarnation = 8;
    options.heartbeat = 300ms;
    options.control_timeout = 2s;
    options.can_list_endpoints = true;
    options.failure_domain_regions = {{"west-a", "west"}};
    options.limits.count_refusals_as_retries = true;
    options.limits.retry_ratio = kRetryRatio;
    options.limits.retry_reserve = kRetryReserve;
    options.limits.retry_window = kRetryWindow;
    options.limits.warmup_factor = kWarmupFactor;
    options.limits.warmup_slack = kWarmupSlack;
    return options;
  }

  void StartIfDue(std::size_t index) {
    NarrowEntry& entry = fleet_.entries()[index];
    if (!entry.is_down || elapsed_ < start_times_[index])
      return;
    entry.driver =
        std::make_unique<EntryDriver>(Options(entry.session().self().id));
    entry.deliveries.clear();
    entry.is_down = false;
  }

  void SendRequest(std::size_t index, forwarding::AttemptEnd end) {
    NarrowEntry& entry = fleet_.entries()[index];
    if (entry.is_down)
      return;
    EntryDriver& driver = *entry.driver;
    const bool is_due =
        (elapsed_ + NarrowFleet::kStep * index) % kRequestInterval ==
        Duration{0};
    if (is_due) {
      RequestArrived arrival;
      arrival.ticket = ++driver.last_ticket;
      arrival.host = "h";
      arrival.method = "GET";
      arrival.path = "/";
      driver.Step(arrival);
    }
    // An attempt that ends may begin others.
    while (!driver.attempts.empty()) {
      const StartAttempt attempt = driver.attempts.front();
      driver.attempts.erase(driver.attempts.begin());
      sent_[attempt.endpoint].push_back(elapsed_);
      ++(attempt.number == 1 ? requests_ : retries_)[elapsed_];
      driver.EndAttempt(attempt, end);
    }
  }

  NarrowFleet fleet_;
  Duration elapsed_{0};
  std::vector<Duration> start_times_;
  std::map<std::string, std::vector<Duration>> sent_;
  std::map<Duration, int> requests_;
  std::map<Duration, int> retries_;
};

}  // namespace

// Guards against entries that take the first lists of members, which lack those
// that start later, for the whole fleet.
TEST_CASE("Cold endpoints are spared while a whole fleet starts again") {
  const Duration spread = GENERATE(Duration{0}, Duration{1s}, Duration{2s},
                                   Duration{4s}, Duration{8s});
  CAPTURE(ToMillis(spread));
  RestartedFleet fleet(spread, /*cold_for_ms=*/600'000);
  fleet.Run(12s, forwarding::AttemptEnd::kAnswered);
  CHECK(fleet.sent() > 0);
  CHECK(fleet.MostPerSecond() <= kMaxPerSecond);
}

// Guards against entries that take shares of the reserve for themselves by
// lists that lack those which start later.
TEST_CASE("A whole fleet that starts again shares the reserve of retries") {
  const Duration spread = GENERATE(Duration{0}, Duration{1s}, Duration{2s},
                                   Duration{4s}, Duration{8s});
  CAPTURE(ToMillis(spread));
  RestartedFleet fleet(spread, /*cold_for_ms=*/0);
  fleet.Run(14s, forwarding::AttemptEnd::kRefused);
  CHECK(fleet.sent() > 0);
  CHECK(fleet.MostReserveUsed() <= kRetryReserve);
}

}  // namespace jacinth::entry
