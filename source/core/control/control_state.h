#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/control/ledger.h"
#include "core/control/suspect_table.h"
#include "core/protocol/command.h"
#include "core/protocol/control_snapshot.h"
#include "core/settings/tree.h"

namespace jacinth::control {

/// Result of a settings change.
struct ChangeOutcome {
  bool accepted = false;
  /// Reason of the refusal; meaningless if `accepted`.
  ErrorKind refusal = ErrorKind::kRevisionConflict;
  /// Revision that the change made, or the current one if it was refused.
  std::uint64_t revision = 0;

  bool operator==(const ChangeOutcome&) const = default;
};

/// Result of recording the end of an attempt.
struct FinishOutcome {
  bool operator==(const FinishOutcome&) const = default;
};

/// Result of recording slice owners.
struct OwnersRecorded {
  bool operator==(const OwnersRecorded&) const = default;
};

/// Result of recording suspect requests.
struct SuspectsRecorded {
  bool operator==(const SuspectsRecorded&) const = default;
};

/// Result of applying a command.
using CommandResult = std::variant<ChangeOutcome,
                                   ClaimResult,
                                   FinishOutcome,
                                   OwnersRecorded,
                                   SuspectsRecorded>;

/// The replicated state machine. Deterministic: equal logs give equal states
/// and results.
class ControlState {
 public:
  CommandResult Apply(const protocol::Command& command);

  /// Returns the result of the first use of the idempotency key of `change` by
  /// its operator, or a refusal with kKeyReused if that was for another change;
  /// nothing if the key has not been used.
  std::optional<ChangeOutcome> FindResult(
      const protocol::ChangeSettings& change) const;

  /// Returns the tree that applying `change` would give.
  settings::Tree Preview(const protocol::ChangeSettings& change) const;

  std::uint64_t revision() const { return revision_; }
  /// Version that the operator gave to the last numbered change; 0 if none.
  std::uint64_t operator_version() const { return operator_version_; }
  /// Returns the current contents of the branches changed since `revision`;
  /// nothing if the changes since then are no longer kept.
  std::optional<std::vector<protocol::BranchChange>> ChangesSince(
      std::uint64_t revision) const;
  const settings::Tree& tree() const { return *tree_; }
  /// The same tree, which a later change replaces and doesn't modify.
  const std::shared_ptr<const settings::Tree>& shared_tree() const {
    return tree_;
  }
  const Ledger& ledger() const { return ledger_; }
  const std::deque<protocol::AuditRecord>& audit() const { return audit_; }

  /// Returns the slice owners as last recorded.
  std::vector<protocol::SliceOwner> SliceOwners() const;

  /// Requests that crash endpoints.
  const SuspectTable& suspects() const { return suspects_; }

  /// Serializes the state for a snapshot.
  std::string Save() const;

  /// Replaces the state by the serialized state `bytes`. If `bytes` is empty,
  /// resets the state to the initial one.
  Result<void> Load(const std::string& bytes);

 private:
  using SliceKey = std::pair<std::string, std::uint32_t>;
  using ResultKey = std::pair<std::string, std::string>;

  ChangeOutcome ApplyChange(const protocol::ChangeSettings& change,
                            WallMillis wall_ms);
  bool MeetsPrecondition(const protocol::ChangeSettings& change) const;
  void ApplyOwners(const protocol::RecordOwners& record);
  void RecordChangedBranches(const protocol::ChangeSettings& change);
  void StoreResult(const protocol::ChangeSettings& change,
                   const ChangeOutcome& outcome);
  Duration Retention() const;

  std::uint64_t revision_ = 0;
  std::uint64_t operator_version_ = 0;
  std::shared_ptr<const settings::Tree> tree_ =
      std::make_shared<const settings::Tree>();
  WallMillis log_time_ = 0;
  Ledger ledger_;
  std::map<ResultKey, protocol::ChangeResult> results_;
  std::deque<ResultKey> result_order_;
  std::deque<protocol::AuditRecord> audit_;
  std::map<SliceKey, std::string> slice_owners_;
  SuspectTable suspects_;
  /// Names of the branches that each of the latest revisions changed, oldest
  /// first.
  std::deque<std::vector<std::string>> recent_changes_;
};

}  // namespace jacinth::control
