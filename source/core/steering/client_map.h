#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/settings/fleet_settings.h"
#include "core/steering/block_table.h"

namespace jacinth::steering {

/// Maps blocks of client addresses to regions. Immutable.
class ClientMap {
 public:
  ClientMap(std::vector<std::string> regions, BlockTable blocks);

  /// Returns the region of an address; nullopt if no block contains it.
  std::optional<std::string> RegionOf(std::uint32_t address) const;

 private:
  std::vector<std::string> regions_;
  BlockTable blocks_;
};

/// Builds the map from the client blocks in the settings, without the malformed
/// ones. Returns null if the settings have no client blocks.
std::shared_ptr<const ClientMap> BuildClientMap(
    const settings::FleetSettings& fleet);

}  // namespace jacinth::steering
