#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/protocol/configuration.h"
#include "core/protocol/log_entry.h"
#include "core/protocol/snapshot.h"

namespace jacinth::consensus {

/// In-memory log after the last snapshot.
class ReplicaLog {
 public:
  ReplicaLog() = default;
  ReplicaLog(protocol::Snapshot base, std::vector<protocol::LogEntry> entries);

  std::uint64_t first_index() const { return base_.index + 1; }
  std::uint64_t last_index() const { return base_.index + entries_.size(); }
  std::uint64_t last_term() const;
  const protocol::Snapshot& base() const { return base_; }

  /// Returns the term of the entry at `index`, or nothing if the log doesn't
  /// contain it.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  /// Returns the entry at `index`, which the log must contain.
  const protocol::LogEntry& At(std::uint64_t index) const;

  /// Returns up to `limit` entries, starting at `first`.
  std::vector<protocol::LogEntry> Slice(std::uint64_t first,
                                        std::size_t limit) const;

  /// Appends one entry, whose index must be last_index() + 1.
  void Append(protocol::LogEntry entry);

  /// Removes all entries starting at `index`.
  void TruncateFrom(std::uint64_t index);

  /// Replaces the entries up to the snapshot's index by the snapshot. Keeps the
  /// entries after it only if the log contains the snapshot's last entry.
  void ReplacePrefix(protocol::Snapshot snapshot);

  /// Returns the last configuration in the log, committed or not.
  protocol::Configuration LastConfiguration() const;

  /// Returns true if a log that ends with (`term`, `index`) is at least as
  /// up-to-date as this one.
  bool IsUpToDate(std::uint64_t term, std::uint64_t index) const;

 private:
  std::uint64_t LastConfigurationIndex() const;

  protocol::Snapshot base_;
  std::deque<protocol::LogEntry> entries_;
};

}  // namespace jacinth::consensus
