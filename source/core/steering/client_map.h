#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/settings/fleet_settings.h"
#include "core/steering/block_table.h"

namespace jacinth::steering {

/// Region of each known block of client addresses; immutable once built.
class ClientMap {
 public:
  ClientMap(std::vector<std::string> regions, BlockTable blocks);

  /// Region of an address; nothing if no block holds it.
  std::optional<std::string> RegionOf(std::uint32_t address) const;

 private:
  std::vector<std::string> regions_;
  BlockTable blocks_;
};

/// Builds the map of the settings' client blocks; null if there are none.
/// Blocks that can't be parsed are left out.
std::shared_ptr<const ClientMap> BuildClientMap(
    const settings::FleetSettings& fleet);

}  // namespace jacinth::steering
