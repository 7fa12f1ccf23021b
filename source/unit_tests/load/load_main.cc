#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "core/http/connection.h"
#include "unit_tests/load/open_loop.h"
#include "unit_tests/support/process_fleet.h"

// Measures the requests answered in time and their latency by rank, at moderate
// load and under overload. Compares jacinthroute with a baseline that sends the
// requests to the endpoints by round robin, without admission control.

namespace jacinth::test {
namespace {

constexpr int kEntries = 3;
constexpr int kEndpoints = 6;
constexpr int kSlots = 6;
constexpr Duration kServiceTime = 40ms;
constexpr Duration kDeadline = 500ms;
constexpr Duration kRunDuration = 6s;
constexpr int kWorkers = 900;
/// Requests per second that all slots together can execute: a slot executes 25
/// requests of kServiceTime per second.
constexpr int kCapacity = kEndpoints * kSlots * 25;
/// Value of a request by rank, by which the requests answered in time are
/// weighted.
constexpr std::array<int, kRankCount> kRankValues = {10, 3, 1};

std::string ServiceSettingsText() {
  std::string text =
      "ttl_ms = 300\n[service/s]\nprobe_interval_ms = 200\nslots = 6\n"
      "request_timeout_ms = 500\nattempt_timeout_ms = 400\n";
  for (const Rank rank : kRanks) {
    const std::string name(RankName(rank));
    text += "[service/s/kind/" + name + "]\npath_prefix = /" + name +
            "\nrepeatable = true\nrank = " + name + "\n";
  }
  return text;
}

struct Scenario {
  const char* name;
  RankRates rates;
};

/// Holds the persistent connections of one worker, one to each target.
class WorkerClient {
 public:
  explicit WorkerClient(const std::vector<std::string>& targets) {
    for (const std::string& target : targets)
      connections_.push_back(std::make_unique<http::Connection>(target));
  }

  bool Send(std::size_t target, const std::string& path) {
    http::Request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Jacinth-Deadline-Ms", "500"}};
    const auto result =
        connections_[target]->Exchange(request, {250ms, 1s, 1UL << 16U});
    return result.end == http::ExchangeEnd::kAnswered &&
           result.response.status == 200;
  }

 private:
  std::vector<std::unique_ptr<http::Connection>> connections_;
};

void PrintRow(const Scenario& scenario,
              const char* variant,
              const std::vector<RankReport>& reports) {
  int value = 0;
  int offered_value = 0;
  std::printf("| %s | %s |", scenario.name, variant);
  for (const Rank rank : kRanks) {
    const RankReport& report = reports[RankIndex(rank)];
    value += report.in_time * kRankValues[RankIndex(rank)];
    offered_value += report.offered * kRankValues[RankIndex(rank)];
    std::printf(" %d/%d, %ld/%ld ms |", report.in_time, report.offered,
                ToMillis(report.latency.Quantile(0.5)),
                ToMillis(report.latency.Quantile(0.99)));
  }
  std::printf(" %d %% |\n", 100 * value / std::max(1, offered_value));
  std::fflush(stdout);
}

void RunScenario(const Scenario& scenario,
                 const char* variant,
                 const std::vector<std::string>& targets,
                 const std::string& prefix) {
  std::vector<std::unique_ptr<WorkerClient>> clients;
  clients.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i)
    clients.push_back(std::make_unique<WorkerClient>(targets));
  std::atomic<std::size_t> next_target{0};
  const auto reports =
      RunOpenLoop(scenario.rates, kRunDuration, kDeadline, kWorkers,
                  [&](int worker, Rank rank) {
                    return clients[worker]->Send(
                        next_target++ % targets.size(),
                        prefix + "/" + std::string(RankName(rank)));
                  });
  PrintRow(scenario, variant, reports);
}

int RunLoadExperiment() {
  FakeEndpointOptions options;
  options.slots = kSlots;
  options.service_time = kServiceTime;
  options.server_threads = kWorkers;
  ProcessFleet fleet(kEntries, kEndpoints, options, ServiceSettingsText());
  fleet.StartAll();
  fleet.ApplySettingsTree();
  std::vector<std::string> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i)
    entries.push_back(fleet.EntryAddress(i));
  std::vector<std::string> endpoints;
  endpoints.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i)
    endpoints.push_back("127.0.0.1:" +
                        std::to_string(fleet.endpoint(i).port()));
  const std::vector<Scenario> scenarios = {
      {"moderate load, 60 %", {kCapacity / 5, kCapacity / 5, kCapacity / 5}},
      {"background overload, 200 %",
       {kCapacity / 5, kCapacity / 5, 8 * kCapacity / 5}},
      {"urgent overload, 200 %",
       {8 * kCapacity / 5, kCapacity / 5, kCapacity / 5}},
  };
  std::printf(
      "capacity %d requests/s; cells: requests in time/offered, p50/p99 "
      "latency of those in time\n\n",
      kCapacity);
  std::printf(
      "| load | variant | urgent | normal | background | value served |\n"
      "|---|---|---|---|---|---|\n");
  for (const Scenario& scenario : scenarios) {
    RunScenario(scenario, "round robin", endpoints, "");
    RunScenario(scenario, "jacinthroute", entries, "/v1/services/s");
  }
  return 0;
}

}  // namespace
}  // namespace jacinth::test

int main() {
  return jacinth::test::RunLoadExperiment();
}
