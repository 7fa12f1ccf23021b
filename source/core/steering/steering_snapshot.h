#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/entry_status.h"
#include "core/settings/fleet_settings.h"
#include "core/steering/absent_entries.h"
#include "core/steering/client_map.h"

namespace jacinth::steering {

/// State from which an entry instance answers look-ups; immutable once
/// published.
struct SteeringSnapshot {
  std::shared_ptr<const settings::FleetSettings> fleet;
  /// Built from `fleet`; null if the settings have no client blocks.
  std::shared_ptr<const ClientMap> clients;
  /// Entry instances that the control role considers alive.
  std::vector<protocol::EntryStatus> members;
  /// Entry instances that served callers and don't any more, by id.
  std::map<std::string, AbsentEntry> absent_entries;
  /// The answering instance.
  protocol::EntryStatus self;
  /// Time until which the control role is known to consider this instance
  /// alive; afterwards the instance omits itself from look-up answers.
  Time contact_until{};
  /// True if the control role has newer settings than `fleet`.
  bool is_outdated = false;
  /// True if this instance knows no endpoints yet, and so can't serve callers.
  bool awaits_endpoints = false;
};

}  // namespace jacinth::steering
