#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/control/ledger.h"
#include "core/protocol/command.h"
#include "core/protocol/control_snapshot.h"
#include "core/settings/tree.h"

namespace jacinth::control {

/// Result of a change of settings.
struct ChangeOutcome {
  /// kNone is expressed by `accepted`; otherwise the reason of the refusal.
  bool accepted = false;
  ErrorKind refusal = ErrorKind::kRevisionConflict;
  /// Revision made, or the current one on a conflict.
  std::uint64_t revision = 0;

  bool operator==(const ChangeOutcome&) const = default;
};

/// Result of the end of an attempt.
struct FinishOutcome {
  bool operator==(const FinishOutcome&) const = default;
};

/// Result of a record of slices' owners.
struct OwnersRecorded {
  bool operator==(const OwnersRecorded&) const = default;
};

/// What applying a command gave.
using CommandResult =
    std::variant<ChangeOutcome, ClaimResult, FinishOutcome, OwnersRecorded>;

/// The replicated state machine: equal logs give equal states and results.
class ControlState {
 public:
  CommandResult Apply(const protocol::Command& command);

  /// The first answer to this change, if it is a resend.
  std::optional<ChangeOutcome> FindResult(
      const protocol::ChangeSettings& change) const;

  /// The tree that `change` would make.
  settings::Tree Preview(const protocol::ChangeSettings& change) const;

  std::uint64_t revision() const { return revision_; }
  /// Number that the operator gave to the last numbered change; 0 if none.
  std::uint64_t operator_version() const { return operator_version_; }
  /// Branches changed since `revision`, the last contents of each; nothing if
  /// that is too long ago.
  std::optional<std::vector<protocol::BranchChange>> ChangesSince(
      std::uint64_t revision) const;
  const settings::Tree& tree() const { return tree_; }
  const Ledger& ledger() const { return ledger_; }
  const std::deque<protocol::AuditRecord>& audit() const { return audit_; }

  /// Owners of slices as last recorded.
  std::vector<protocol::SliceOwner> SliceOwners() const;

  /// Serialized state for a snapshot.
  std::string Save() const;

  /// Replaces the state; empty bytes give the state before any command.
  Result<void> Load(const std::string& bytes);

 private:
  using SliceKey = std::pair<std::string, std::uint32_t>;
  using ResultKey = std::pair<std::string, std::string>;

  ChangeOutcome ApplyChange(const protocol::ChangeSettings& change,
                            WallMillis wall_ms);
  bool IsCurrent(const protocol::ChangeSettings& change) const;
  void ApplyOwners(const protocol::RecordOwners& record);
  void NoteChanges(const protocol::ChangeSettings& change);
  void Remember(const protocol::ChangeSettings& change,
                const ChangeOutcome& outcome);
  Duration Retention() const;

  std::uint64_t revision_ = 0;
  std::uint64_t operator_version_ = 0;
  settings::Tree tree_;
  WallMillis log_time_ = 0;
  Ledger ledger_;
  std::map<ResultKey, protocol::ChangeResult> results_;
  std::deque<ResultKey> result_order_;
  std::deque<protocol::AuditRecord> audit_;
  std::map<SliceKey, std::string> slice_owners_;
  /// Names of the branches that the latest revisions changed, oldest first.
  std::deque<std::vector<std::string>> recent_changes_;
};

}  // namespace jacinth::control
