#pragma once

#include <string>
#include <vector>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// One entry's part of the rate that cold endpoints bear.
///
/// Entries don't talk about it: of all live entries, as many as a cold endpoint
/// bears requests in a second are chosen by a hash of both names, and each of
/// these sends at most one request in `interval()`. So no second holds more,
/// whatever the entries' phases.
class WarmupGate {
 public:
  /// `entries` are the live entry instances, `self` among them; `per_second` is
  /// what all of them together may send to one cold endpoint, at least 1.
  WarmupGate(std::string self,
             std::vector<std::string> entries,
             double per_second);
  WarmupGate() = default;

  /// True if this entry may use the cold endpoint `name` at all.
  bool MayUse(const std::string& name) const;

  /// Shortest time between two requests to the same cold endpoint. Longer than
  /// a second, as requests may wait under way.
  static Duration interval();

 private:
  std::string self_;
  std::vector<std::string> entries_;
  std::size_t allowed_ = 0;
};

}  // namespace jacinth::forwarding
