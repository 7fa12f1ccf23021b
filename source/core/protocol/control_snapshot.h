#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/slice.h"
#include "core/protocol/suspect_request.h"

namespace jacinth::protocol {

/// State of one idempotency key.
enum class ClaimState {
  kRunning,
  kRan,
  kUnknown,
  /// The attempt ended without running the request, for example before any byte
  /// was sent; the key can be claimed again.
  kReleased,
};

/// A record of the ledger.
struct ClaimRecord {
  ClaimKey key;
  std::string attempt;
  std::uint64_t fingerprint = 0;
  ClaimState state = ClaimState::kRunning;
  WallMillis claimed_ms = 0;
  /// Latest time at which a running attempt can end; after it, the outcome is
  /// unknown.
  WallMillis deadline_ms = 0;
  RecordedAnswer answer;

  bool operator==(const ClaimRecord&) const = default;
};

/// The result of an operator's change, which is returned again to resends.
struct ChangeResult {
  std::string operator_name;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;
  bool accepted = false;
  /// Revision that the change created, or the current one if it was refused.
  std::uint64_t revision = 0;

  bool operator==(const ChangeResult&) const = default;
};

/// An accepted change in the audit trail.
struct AuditRecord {
  std::uint64_t revision = 0;
  WallMillis wall_ms = 0;
  std::string operator_name;
  /// Changed branches, separated by commas.
  std::string branches;

  bool operator==(const AuditRecord&) const = default;
};

/// The complete state of the replicated state machine.
struct ControlSnapshot {
  std::uint64_t revision = 0;
  /// Version that the operator gave to the last numbered change; 0 if none.
  std::uint64_t operator_version = 0;
  std::string tree_text;
  WallMillis log_time_ms = 0;
  std::vector<ClaimRecord> claims;
  /// Claims with a deadline before this time may have been removed.
  WallMillis forgotten_before_ms = 0;
  std::vector<ChangeResult> results;
  std::vector<AuditRecord> audit;
  std::vector<SliceOwner> slice_owners;
  std::vector<SuspectRequest> suspects;

  bool operator==(const ControlSnapshot&) const = default;
};

}  // namespace jacinth::protocol
