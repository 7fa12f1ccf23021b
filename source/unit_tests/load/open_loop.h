#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/common/rank.h"
#include "core/common/time.h"
#include "core/metrics/latency_histogram.h"

namespace jacinth::test {

/// Requests per second of each rank.
using RankRates = std::array<int, kRankCount>;

/// Results of the requests of one rank.
struct RankReport {
  int offered = 0;
  /// Requests answered completely within the deadline, measured from their
  /// scheduled time.
  int in_time = 0;
  metrics::LatencyHistogram latency;
};

/// Sends one request of a rank and returns true if it was served. `worker` is
/// the index of the calling thread.
using SendFunction = std::function<bool(int worker, Rank rank)>;

/// Sends requests on a fixed schedule, independently of how long the answers
/// take, and measures the latency from the scheduled time of each request, so
/// that a stall is not hidden (coordinated omission).
std::vector<RankReport> RunOpenLoop(const RankRates& rates,
                                    Duration duration,
                                    Duration deadline,
                                    int workers,
                                    const SendFunction& send);

}  // namespace jacinth::test
