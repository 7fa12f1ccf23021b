#include "unit_tests/load/open_loop.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace jacinth::test {
namespace {

using Clock = std::chrono::steady_clock;

struct ScheduledRequest {
  Duration offset;
  Rank rank;
};

std::vector<ScheduledRequest> MakeSchedule(const RankRates& rates,
                                           Duration duration) {
  std::vector<ScheduledRequest> schedule;
  for (const Rank rank : kRanks) {
    const int rate = rates[RankIndex(rank)];
    if (rate == 0)
      continue;
    const Duration interval = Duration(1s) / rate;
    for (Duration offset{0}; offset < duration; offset += interval)
      schedule.push_back({offset, rank});
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const ScheduledRequest& left, const ScheduledRequest& right) {
        return left.offset < right.offset;
      });
  return schedule;
}

}  // namespace

std::vector<RankReport> RunOpenLoop(const RankRates& rates,
                                    Duration duration,
                                    Duration deadline,
                                    int workers,
                                    const SendFunction& send) {
  const std::vector<ScheduledRequest> schedule = MakeSchedule(rates, duration);
  std::vector<RankReport> reports(kRankCount);
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  threads.reserve(workers);
  for (int worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&, worker] {
      while (true) {
        const std::size_t index = next++;
        if (index >= schedule.size())
          return;
        const auto due_time = start + schedule[index].offset;
        std::this_thread::sleep_until(due_time);
        const bool served = send(worker, schedule[index].rank);
        const auto elapsed =
            std::chrono::duration_cast<Duration>(Clock::now() - due_time);
        const std::lock_guard lock(mutex);
        RankReport& report = reports[RankIndex(schedule[index].rank)];
        ++report.offered;
        if (!served || elapsed > deadline)
          continue;
        ++report.in_time;
        report.latency.Record(elapsed);
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return reports;
}

}  // namespace jacinth::test
