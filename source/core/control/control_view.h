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

/// What a control replica knows, as told to operators.
struct ControlView {
  std::string replica;
  /// Instance of the leader, or empty if unknown.
  std::string leader;
  /// True if the view is vouched for by the leader's lease.
  bool current = false;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t revision = 0;
  std::uint64_t operator_version = 0;
  std::shared_ptr<const settings::Tree> tree;
  protocol::Configuration replicas;
  /// False while a change of the replicas is under way: until it is committed,
  /// a replica that is being admitted doesn't yet count.
  bool replicas_settled = false;
  /// Entry instances alive, with the revision in force on each.
  std::vector<protocol::EntryStatus> entries;
  std::vector<protocol::AuditRecord> audit;
  std::uint64_t ledger_rows = 0;
};

}  // namespace jacinth::control
