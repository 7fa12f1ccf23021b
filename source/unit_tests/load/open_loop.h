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

/// Requests a second of each rank.
using RankRates = std::array<int, kRankCount>;

/// What became of the requests of one rank.
struct RankReport {
  int offered = 0;
  /// Answered whole within the deadline, counted from when they were due.
  int in_time = 0;
  metrics::LatencyHistogram latency;
};

/// Sends one request of a rank; true if it was served. `worker` is the number
/// of the calling thread.
using SendRequest = std::function<bool(int worker, Rank rank)>;

/// Offers requests on a fixed schedule, whatever the answers take, and counts
/// latency from when each was due, so that a stall is not hidden.
std::vector<RankReport> RunOpenLoop(const RankRates& rates,
                                    Duration duration,
                                    Duration deadline,
                                    int workers,
                                    const SendRequest& send);

}  // namespace jacinth::test
