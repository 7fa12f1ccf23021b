#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/control_snapshot.h"

namespace jacinth::control {

/// Result of a claim. `answer` is set only if the verdict is kRan.
struct ClaimResult {
  protocol::ClaimVerdict verdict = protocol::ClaimVerdict::kUnknown;
  protocol::RecordedAnswer answer;

  bool operator==(const ClaimResult&) const = default;
};

/// Records which idempotency keys were used, so that no request runs twice.
///
/// Part of the replicated state: records expire only by `log_time`, the time in
/// the log, which is equal on all replicas.
class Ledger {
 public:
  /// Claims `request.key` for an attempt. The attempt may send its request only
  /// if the verdict is kGranted.
  ClaimResult Claim(const protocol::ClaimRequest& request, WallMillis log_time);

  /// Records how an attempt ended. Has no effect if another attempt holds the
  /// key or the end is already recorded.
  void Finish(const protocol::FinishRequest& request, WallMillis log_time);

  /// Removes records whose deadline passed more than `retention` ago.
  void Prune(WallMillis log_time, Duration retention);

  std::vector<protocol::ClaimRecord> Records() const;
  void Restore(std::vector<protocol::ClaimRecord> records,
               WallMillis forgotten_before);

  /// Returns the time before which records may have been removed: those whose
  /// deadline is earlier.
  WallMillis forgotten_before() const { return forgotten_before_; }
  std::size_t size() const { return records_.size(); }

 private:
  void Insert(protocol::ClaimRecord record);
  void Erase(const protocol::ClaimKey& key);
  bool IsExpired(const protocol::ClaimRequest& request,
                 WallMillis log_time) const;

  std::map<protocol::ClaimKey, protocol::ClaimRecord> records_;
  std::set<std::pair<WallMillis, protocol::ClaimKey>> keys_by_deadline_;
  WallMillis forgotten_before_ = 0;
};

/// Returns the issue time in milliseconds of a version 7 UUID (RFC 9562), or
/// nothing for other keys. The ledger uses it to refuse keys whose record may
/// have been removed.
std::optional<WallMillis> IssueTimeOfKey(const std::string& key);

}  // namespace jacinth::control
