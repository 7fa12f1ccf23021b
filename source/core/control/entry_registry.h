#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/entry_status.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::control {

/// The leader's list of the live entry instances, maintained from heartbeats.
/// Not replicated: a new leader rebuilds it within one entry timeout.
class EntryRegistry {
 public:
  explicit EntryRegistry(Duration timeout) : timeout_(timeout) {}

  /// Clears the list at the start of a leader's term.
  void Reset(std::uint64_t term, Time now);

  void OnHeartbeat(const protocol::EntryStatus& status, Time now);

  /// Removes entries without a heartbeat for longer than the timeout.
  void Expire(Time now);

  /// Returns the version of the list, or 0 until a whole timeout has passed
  /// since Reset: before that, live entries may be missing from the list.
  std::uint64_t Version(Time now) const;

  /// Returns the live entries with the list's version; none if that is 0.
  protocol::MemberList Members(Time now) const;

  /// Returns the last status of every live entry.
  std::vector<protocol::EntryStatus> Statuses() const;

 private:
  struct EntryRecord {
    protocol::EntryStatus status;
    Time last_heartbeat;
  };

  Duration timeout_;
  Time term_start_{};
  std::uint64_t version_ = 0;
  std::map<std::string, EntryRecord> entries_;
};

}  // namespace jacinth::control
