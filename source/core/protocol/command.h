#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/slice.h"
#include "core/protocol/suspect_request.h"

namespace jacinth::protocol {

/// New values of one branch. An empty map removes the branch.
struct BranchChange {
  std::string branch;
  std::map<std::string, std::string> values;

  bool operator==(const BranchChange&) const = default;
};

/// Version numbers that an operator assigns to a change.
struct VersionStep {
  /// Version that must be current for the change to apply.
  std::uint64_t base = 0;
  /// Version after the change; must be greater than `base`.
  std::uint64_t next = 0;

  bool operator==(const VersionStep&) const = default;
};

/// A settings change by an operator.
struct ChangeSettings {
  std::string operator_name;
  std::string idempotency_key;
  /// Hash of the request, which distinguishes a resend from a reused key.
  std::uint64_t fingerprint = 0;
  /// Revision that must be current for the change to apply.
  std::uint64_t if_revision = 0;
  /// True if the change applies to any revision; `if_revision` is then unused.
  bool any_revision = false;
  /// Set if the operator numbers its changes. The version is then checked
  /// instead of the revision.
  std::optional<VersionStep> version_step;
  /// Removes every branch that is not in `changes`.
  bool replace_all = false;
  std::vector<BranchChange> changes;

  bool operator==(const ChangeSettings&) const = default;
};

/// Records slice owners, so that a new leader starts with them.
struct RecordOwners {
  std::vector<SliceOwner> owners;

  bool operator==(const RecordOwners&) const = default;
};

/// Records requests that crash endpoints, so that a new leader knows them.
struct RecordSuspects {
  std::vector<SuspectRequest> requests;

  bool operator==(const RecordSuspects&) const = default;
};

/// A command to the replicated state machine.
struct Command {
  /// Wall-clock time of the leader when it proposed the command.
  WallMillis wall_ms = 0;
  /// Identifies the proposal to the replica that waits for its result.
  std::uint64_t proposal = 0;
  std::variant<ChangeSettings,
               ClaimRequest,
               FinishRequest,
               RecordOwners,
               RecordSuspects>
      body;

  bool operator==(const Command&) const = default;
};

}  // namespace jacinth::protocol
