#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/slice_list.h"

namespace jacinth::protocol {

/// State of one idempotency key.
enum class ClaimState {
  kRunning,
  kRan,
  kUnknown,
  /// Given up before any byte was sent; the key may be claimed again.
  kReleased,
};

/// One row of the ledger.
struct ClaimRecord {
  ClaimKey key;
  std::string attempt;
  std::uint64_t fingerprint = 0;
  ClaimState state = ClaimState::kRunning;
  WallMillis claimed_ms = 0;
  /// Until then a running attempt may still answer.
  WallMillis deadline_ms = 0;
  RecordedAnswer answer;

  bool operator==(const ClaimRecord&) const = default;
};

/// The first answer to an operator's change, repeated to resends.
struct ChangeResult {
  std::string operator_name;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;
  bool accepted = false;
  /// Revision made by the change, or the one it conflicted with.
  std::uint64_t revision = 0;

  bool operator==(const ChangeResult&) const = default;
};

/// One accepted change, for the audit trail.
struct AuditRecord {
  std::uint64_t revision = 0;
  WallMillis wall_ms = 0;
  std::string operator_name;
  /// Branches changed, separated by commas.
  std::string branches;

  bool operator==(const AuditRecord&) const = default;
};

/// The whole replicated state.
struct ControlSnapshot {
  std::uint64_t revision = 0;
  /// Number that the operator gave to the last numbered change.
  std::uint64_t operator_version = 0;
  std::string tree_text;
  WallMillis log_time_ms = 0;
  std::vector<ClaimRecord> claims;
  /// Claims may be missing for attempts that had to end before this time.
  WallMillis forgotten_before_ms = 0;
  std::vector<ChangeResult> results;
  std::vector<AuditRecord> audit;
  std::vector<SliceOwner> slice_owners;

  bool operator==(const ControlSnapshot&) const = default;
};

}  // namespace jacinth::protocol
