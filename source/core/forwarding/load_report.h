#pragma once

namespace jacinth::forwarding {

/// What an endpoint tells of its load with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  /// True if a request sent now would run at once.
  bool HasIdleSlot() const { return running + waiting < slots; }
};

}  // namespace jacinth::forwarding
