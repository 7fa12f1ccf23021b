#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/command.h"
#include "core/protocol/suspect_request.h"

namespace jacinth::control {

/// The suspect requests of the log, and what has changed since earlier versions
/// of this replica's copy.
class SuspectTable {
 public:
  struct Item {
    protocol::SuspectRequest request;
    /// Version of the last change.
    std::uint32_t changed = 0;
  };

  /// Applies a record of the log.
  void Apply(const protocol::RecordSuspects& record);
  /// Removes the requests whose suspicion has expired.
  void Expire(WallMillis now);
  /// Replaces all requests by those of a snapshot.
  void Replace(const std::vector<protocol::SuspectRequest>& requests);

  /// Requests by fingerprint.
  const std::map<std::uint64_t, Item>& items() const { return items_; }
  std::size_t size() const { return items_.size(); }
  /// Number of changes since this replica started.
  std::uint32_t version() const { return version_; }

  /// Returns true if the changes since `version` are known.
  bool KeepsChangesSince(std::uint32_t version) const {
    return version >= first_version_ && version <= version_;
  }
  /// Returns the fingerprints that were removed since `version` and are not
  /// suspect now.
  std::vector<std::uint64_t> RemovedSince(std::uint32_t version) const;

 private:
  void Set(const protocol::SuspectRequest& request);
  void Remove(std::uint64_t fingerprint);

  std::map<std::uint64_t, Item> items_;
  /// Version and fingerprint of the latest removals, oldest first.
  std::deque<std::pair<std::uint32_t, std::uint64_t>> removed_;
  std::uint32_t version_ = 0;
  /// First version since which the changes are known.
  std::uint32_t first_version_ = 0;
};

}  // namespace jacinth::control
