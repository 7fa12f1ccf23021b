#pragma once

#include "core/common/rank.h"
#include "core/common/time.h"

namespace jacinth::admission {

/// Limits the bytes of the requests that an instance admits to what its network
/// link carries, as a token bucket. Without a limit, all requests would be
/// late, as their packets queue at the link.
class BandwidthBudget {
 public:
  /// `bytes_per_second` is the bandwidth of the link in each direction; 0 if
  /// there is no limit.
  explicit BandwidthBudget(double bytes_per_second);

  /// Returns true if the link can carry a request of `rank` now. Urgent
  /// requests may overdraw the budget.
  bool Allows(Rank rank, Time now) const;

  /// Counts bytes that the link carries, whether or not they were allowed.
  /// Negative if fewer were carried than counted before.
  void Count(double bytes, Time now);

 private:
  double TokensAt(Time now) const;

  double bytes_per_second_;
  double tokens_;
  Time updated_{};
};

}  // namespace jacinth::admission
