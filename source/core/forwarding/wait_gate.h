#pragma once

#include <optional>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Keeps requests from an endpoint that has asked this entry to wait, and lets
/// them return gradually afterwards.
class WaitGate {
 public:
  /// Applies a wait that starts now. A shorter wait doesn't end a longer one.
  /// Returns true if the end of the wait has changed.
  bool OnAsked(Duration wait, Time now);

  bool IsWaiting(Time now) const { return now < until_; }
  /// Returns the end of the last wait.
  Time until() const { return until_; }

  /// Returns how many requests this entry may have at the endpoint, of `slots`
  /// that it has: none during the wait, then one, and more as time passes.
  /// Returns nullopt if the wait does not limit them.
  std::optional<int> MaxRequests(int slots, Time now) const;

 private:
  Time until_{};
};

}  // namespace jacinth::forwarding
