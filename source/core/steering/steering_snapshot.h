#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/entry_status.h"
#include "core/settings/fleet_settings.h"
#include "core/steering/client_map.h"

namespace jacinth::steering {

/// What an entry instance answers look-ups from; immutable once published.
struct SteeringSnapshot {
  std::shared_ptr<const settings::FleetSettings> fleet;
  /// Made from `fleet`; null if that names no client blocks.
  std::shared_ptr<const ClientMap> clients;
  /// Entry instances that the control role believes alive.
  std::vector<protocol::EntryStatus> members;
  /// The answering instance.
  protocol::EntryStatus self;
  /// Time until which the control role is known to vouch for this instance;
  /// later, the instance doesn't name itself.
  Time contact_until{};
};

}  // namespace jacinth::steering
