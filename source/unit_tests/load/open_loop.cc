#include "unit_tests/load/open_loop.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace jacinth::test {
namespace {

using Clock = std::chrono::steady_clock;

struct Due {
  Duration at;
  Rank rank;
};

std::vector<Due> MakeSchedule(const RankRates& rates, Duration duration) {
  std::vector<Due> schedule;
  for (const Rank rank : kRanks) {
    const int rate = rates[RankIndex(rank)];
    if (rate == 0)
      continue;
    const Duration step = Duration(1s) / rate;
    for (Duration at{0}; at < duration; at += step)
      schedule.push_back({at, rank});
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const Due& left, const Due& right) { return left.at < right.at; });
  return schedule;
}

}  // namespace

std::vector<RankReport> RunOpenLoop(const RankRates& rates,
                                    Duration duration,
                                    Duration deadline,
                                    int workers,
                                    const SendRequest& send) {
  const std::vector<Due> schedule = MakeSchedule(rates, duration);
  std::vector<RankReport> reports(kRankCount);
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  threads.reserve(workers);
  for (int worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&, worker] {
      while (true) {
        const std::size_t at = next++;
        if (at >= schedule.size())
          return;
        const auto due = start + schedule[at].at;
        std::this_thread::sleep_until(due);
        const bool served = send(worker, schedule[at].rank);
        const auto took =
            std::chrono::duration_cast<Duration>(Clock::now() - due);
        const std::lock_guard lock(mutex);
        RankReport& report = reports[RankIndex(schedule[at].rank)];
        ++report.offered;
        if (!served || took > deadline)
          continue;
        ++report.in_time;
        report.latency.Record(took);
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return reports;
}

}  // namespace jacinth::test
