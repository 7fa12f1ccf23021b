#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/common/time.h"

namespace jacinth::metrics {

/// A histogram of durations with logarithmic buckets from 10 us to 100 s. Not
/// thread-safe.
class LatencyHistogram {
 public:
  struct Bucket {
    /// Inclusive upper bound.
    Duration upper_bound{0};
    /// Number of durations up to the bound, including those in lower buckets.
    std::uint64_t cumulative_count = 0;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  /// Counts `duration`. Durations below 10 us count in the lowest bucket.
  void Record(Duration duration);

  /// Returns all buckets in ascending order. Durations above 100 s are in none
  /// of them.
  std::vector<Bucket> Buckets() const;
  std::uint64_t count() const { return count_; }
  Duration sum() const { return sum_; }

  /// Returns the upper bound of the bucket that contains the quantile
  /// `fraction` (0 to 1), or 100 s if the quantile is above all buckets.
  Duration Quantile(double fraction) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::uint64_t count_ = 0;
  Duration sum_{0};
};

}  // namespace jacinth::metrics
