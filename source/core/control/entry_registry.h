#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/entry_status.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::control {

/// The leader's view of the entry instances, kept by heartbeat. Not replicated:
/// a new leader learns it anew within one entry timeout.
class EntryRegistry {
 public:
  explicit EntryRegistry(Duration timeout) : timeout_(timeout) {}

  /// Forgets everything at the start of a leader's term.
  void Reset(std::uint64_t term, Time now);

  void OnHeartbeat(const protocol::EntryStatus& status, Time now);

  /// Drops entries that have been silent for the timeout.
  void Expire(Time now);

  /// Version of the list, or 0 while a new leader has not yet listened for a
  /// whole timeout.
  std::uint64_t Version(Time now) const;

  /// The entries alive under their version; empty if that is 0.
  protocol::MemberList Members(Time now) const;

  /// Last status of every entry alive.
  std::vector<protocol::EntryStatus> Statuses() const;

 private:
  struct Row {
    protocol::EntryStatus status;
    Time heard;
  };

  Duration timeout_;
  Time started_{};
  std::uint64_t version_ = 0;
  std::map<std::string, Row> rows_;
};

}  // namespace jacinth::control
