#pragma once

namespace jacinth::forwarding {

/// Load report that an endpoint sends with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  /// Returns true if a request sent now would run without waiting.
  bool HasIdleSlot() const { return running + waiting < slots; }
};

}  // namespace jacinth::forwarding
