#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
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

  /// Returns the changes since `version`, or the whole list if they are no
  /// longer kept. The list's version is 0 if there is no change.
  protocol::MemberList ChangesSince(std::uint64_t version, Time now) const;

  /// Returns true if ChangesSince() can give the changes since `version`.
  bool KeepsChangesSince(std::uint64_t version) const {
    return version >= first_version_ && version <= version_;
  }

  std::size_t size() const { return entries_.size(); }

  /// Returns the last status of every live entry.
  std::vector<protocol::EntryStatus> Statuses() const;

 private:
  struct EntryRecord {
    protocol::EntryStatus status;
    Time last_heartbeat;
    /// Version in which the entry last changed.
    std::uint64_t changed = 0;
  };

  /// Returns the status that the list shows: that of the heartbeat, and whether
  /// the entry was lost before.
  protocol::EntryStatus Listed(const protocol::EntryStatus& status,
                               const EntryRecord* previous);

  Duration timeout_;
  Time term_start_{};
  std::uint64_t version_ = 0;
  /// Oldest version from which ChangesSince() can give the changes.
  std::uint64_t first_version_ = 0;
  std::map<std::string, EntryRecord> entries_;
  /// Time of removal of the entries that were removed without having announced
  /// a stop, by id.
  std::map<std::string, Time> lost_;
  /// Version of each removal and the id of the removed entry, oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> removed_;
};

}  // namespace jacinth::control
