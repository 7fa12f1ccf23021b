#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/slice_list.h"

namespace jacinth::protocol {

/// New contents of one branch; no values removes the branch.
struct BranchChange {
  std::string branch;
  std::map<std::string, std::string> values;

  bool operator==(const BranchChange&) const = default;
};

/// A version number that the operator gives to a change.
struct VersionStep {
  /// The change applies only to this version.
  std::uint64_t base = 0;
  /// Must be above `base`.
  std::uint64_t next = 0;

  bool operator==(const VersionStep&) const = default;
};

/// An operator's change of settings.
struct ChangeSettings {
  std::string operator_name;
  std::string idempotency_key;
  /// Hash of the request, to tell a resend from a reused key.
  std::uint64_t fingerprint = 0;
  /// The change applies only to this revision.
  std::uint64_t if_revision = 0;
  /// The change applies to any revision; `if_revision` is unused.
  bool any_revision = false;
  /// Set for changes that the operator numbers; decides instead of the
  /// revision.
  std::optional<VersionStep> version_step;
  /// Drops every branch not named in `changes`.
  bool replace_all = false;
  std::vector<BranchChange> changes;

  bool operator==(const ChangeSettings&) const = default;
};

/// Owners of slices, so that a new leader knows them.
struct RecordOwners {
  std::vector<SliceOwner> owners;

  bool operator==(const RecordOwners&) const = default;
};

/// One input of the replicated state machine.
struct Command {
  /// The leader's wall clock when it proposed the command.
  WallMillis wall_ms = 0;
  /// Names the proposal to the replica that waits for its result.
  std::uint64_t proposal = 0;
  std::variant<ChangeSettings, ClaimRequest, FinishRequest, RecordOwners> body;

  bool operator==(const Command&) const = default;
};

}  // namespace jacinth::protocol
