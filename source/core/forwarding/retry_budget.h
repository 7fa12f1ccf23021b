#pragma once

#include <deque>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Limits retries to a share of first attempts, so that a failing service isn't
/// given a multiple of its load. Counts over a sliding window.
class RetryBudget {
 public:
  /// Retries allowed in each window: `ratio` times the first attempts in it,
  /// and `reserve` more for quiet times.
  void Configure(double ratio, int reserve, Duration window);

  /// A first attempt was started.
  void OnFirstAttempt(Time now);

  /// Takes one retry out of the budget; false if there is none left.
  bool TryRetry(Time now);

 private:
  struct Slice {
    Time start;
    int first_attempts = 0;
    int retries = 0;
  };

  Slice& Current(Time now);

  double ratio_ = 0;
  int reserve_ = 0;
  Duration window_{10s};
  std::deque<Slice> slices_;
  int first_attempts_ = 0;
  int retries_ = 0;
};

}  // namespace jacinth::forwarding
