#pragma once

#include <cstddef>
#include <string>

#include "core/common/time.h"
#include "core/forwarding/sender_history.h"

namespace jacinth::forwarding {

/// Limits the rate at which all entries together send requests to a cold
/// endpoint.
///
/// Entries need no coordination for this: if a cold endpoint accepts N requests
/// per second, a hash of the endpoint's and the entry's names selects N of the
/// live entries, and each of them sends at most one request per `interval()`.
/// The interval is longer than a second, so the rate holds in every second,
/// however the entries' intervals are aligned. While the list of entries
/// changes, SenderHistory keeps it.
class WarmupGate {
 public:
  /// `per_second` is the limit for one cold endpoint and all entries together,
  /// at least 1.
  WarmupGate(SenderHistory senders, double per_second);
  WarmupGate() = default;

  /// Returns true if this entry is one of those that may send requests to the
  /// cold endpoint `name`.
  bool CanSendTo(const std::string& name, Time now) const;

  /// Returns the minimum time between two requests of one entry to the same
  /// cold endpoint. It is longer than a second because requests can be delayed
  /// on their way.
  static Duration interval();

 private:
  SenderHistory senders_;
  std::size_t max_senders_ = 0;
};

}  // namespace jacinth::forwarding
