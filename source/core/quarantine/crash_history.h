#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"

namespace jacinth::quarantine {

/// Returns a hash of an endpoint and its start time in Unix milliseconds. An
/// endpoint that restarts gets another one.
std::uint64_t EndpointHash(const std::string& service,
                           const std::string& endpoint,
                           std::int64_t started_ms);

/// Crashes of endpoints that ran the same request.
///
/// Only crashes that followed one another count: each attempt must have begun
/// after the one before had ended. Endpoints that end together for another
/// reason, as in a power loss, count as one.
class CrashHistory {
 public:
  /// Time after which a crash is forgotten.
  static constexpr Duration kMaxAge = 60s;

  /// Adds the crash of an endpoint at `ended`, during an attempt that began at
  /// `sent`. Returns false if the crash is already known.
  bool Add(std::uint64_t endpoint, Time sent, Time ended);

  /// Sets the crashes that all entries together have counted, as known at
  /// `now`. They are forgotten at `until`.
  void SetCounted(std::vector<std::uint64_t> endpoints, Time now, Time until);

  /// Counts the crashes of Sequence(), until `until`.
  void CountSequence(Time until);

  /// Forgets crashes that ended kMaxAge or more before `now`, and expired
  /// counted ones.
  void Expire(Time now);

  /// Returns the endpoints that crashed one after the other: the counted ones,
  /// and the longest sequence after these.
  std::vector<std::uint64_t> Sequence() const;

  bool empty() const { return counted_.empty() && crashes_.empty(); }
  /// Time at which the counted crashes are forgotten.
  Time counted_until() const { return counted_until_; }

 private:
  struct Crash {
    std::uint64_t endpoint = 0;
    Time sent{};
    Time ended{};
  };

  /// Returns the endpoints of Sequence() and the end of its last crash.
  std::pair<std::vector<std::uint64_t>, Time> FindSequence() const;

  std::vector<std::uint64_t> counted_;
  Time counted_at_ = Time::min();
  Time counted_until_ = Time::min();
  /// In the order of their ends.
  std::vector<Crash> crashes_;
};

}  // namespace jacinth::quarantine
