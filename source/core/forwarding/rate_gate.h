#pragma once

#include <optional>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Limits the rate at which this entry sends requests to one endpoint, as a
/// token bucket.
class RateGate {
 public:
  /// Sets the rate in requests per second; nullopt lifts the limit. A gate that
  /// was open starts without tokens, as requests were sent just before.
  void SetRate(std::optional<double> per_second, Time now);

  bool is_limited() const { return per_second_.has_value(); }
  /// Returns the rate; 0 if there is no limit.
  double per_second() const { return per_second_.value_or(0); }

  /// Returns true if a request may be sent now.
  bool Allows(Time now) const;
  /// Returns the first time at which a request may be sent; Time::max() if the
  /// rate is 0.
  Time NextAllowed(Time now) const;

  void OnSent(Time now);

 private:
  double TokensAt(Time now) const;

  std::optional<double> per_second_;
  double tokens_ = 0;
  Time updated_{};
};

}  // namespace jacinth::forwarding
