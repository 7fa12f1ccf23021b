#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/protocol/configuration.h"
#include "core/protocol/control_snapshot.h"
#include "core/protocol/entry_status.h"
#include "core/settings/tree.h"

namespace jacinth::control {

/// The state of a control replica as reported to operators.
struct ControlView {
  std::string replica;
  /// Instance of the leader, or empty if unknown.
  std::string leader;
  /// True if the replica holds the leader lease, so that the view is current.
  bool current = false;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t revision = 0;
  std::uint64_t operator_version = 0;
  std::shared_ptr<const settings::Tree> tree;
  protocol::Configuration replicas;
  /// False while a membership change is not yet committed; until then a replica
  /// that is being admitted does not count as a member.
  bool replicas_settled = false;
  /// Live entry instances, with the revision in force on each.
  std::vector<protocol::EntryStatus> entries;
  std::vector<protocol::AuditRecord> audit;
  std::uint64_t ledger_rows = 0;
};

}  // namespace jacinth::control
