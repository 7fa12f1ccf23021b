#pragma once

#include <algorithm>
#include <cstdint>

#include "core/common/time.h"

namespace jacinth::control {

/// The version of one list at one entry, as far as the leader knows: what the
/// entry's heartbeats confirm, and what was sent since.
///
/// What was sent is assumed to arrive, so that no heartbeat that crosses it
/// makes the leader send it again. If nothing of it is confirmed in time, it is
/// taken to be lost.
class SentVersion {
 public:
  /// Records the version that a heartbeat confirms.
  void OnHeld(std::uint64_t held, Time now) {
    // An entry holds less than before only if it has started again.
    if (held < held_)
      sent_ = held;
    if (held != held_)
      waiting_since_ = now;
    held_ = held;
    sent_ = std::max(sent_, held_);
  }

  /// Records that the entry lacks what was sent, so that the next update is
  /// based on what it holds.
  void OnLost() { sent_ = held_; }

  /// Records that an update to `version` was sent, which is taken to be lost if
  /// nothing of it is confirmed after `resend_after`.
  void OnSent(std::uint64_t version, Duration resend_after, Time now) {
    if (Base(now) == held_) {
      waiting_since_ = now;
      resend_after_ = resend_after;
    }
    resend_after_ = std::max(resend_after_, resend_after);
    sent_ = version;
  }

  /// Returns the version that the next update must be based on.
  std::uint64_t Base(Time now) const {
    return now < waiting_since_ + resend_after_ ? sent_ : held_;
  }

 private:
  std::uint64_t held_ = 0;
  std::uint64_t sent_ = 0;
  /// Time of the first update that isn't confirmed, or of the last progress.
  Time waiting_since_{};
  Duration resend_after_{0};
};

}  // namespace jacinth::control
