#pragma once

#include <deque>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Limits retries to a share of the first attempts in a sliding window, so that
/// retries don't multiply the load of a failing service.
class RetryBudget {
 public:
  /// Allows `ratio` times the first attempts in each window as retries, and
  /// `reserve` more, so that a service with few requests can retry, too.
  void Configure(double ratio, int reserve, Duration window);

  /// Counts a first attempt.
  void OnFirstAttempt(Time now);

  /// Counts a retry if the budget allows one. Returns false if the budget is
  /// exhausted.
  bool TryRetry(Time now);

 private:
  struct Bucket {
    Time start;
    int first_attempts = 0;
    int retries = 0;
  };

  Bucket& CurrentBucket(Time now);

  double ratio_ = 0;
  int reserve_ = 0;
  Duration window_{10s};
  std::deque<Bucket> buckets_;
  int first_attempts_ = 0;
  int retries_ = 0;
};

}  // namespace jacinth::forwarding
