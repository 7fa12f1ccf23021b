#include "core/steering/client_map.h"

#include <utility>

namespace jacinth::steering {

ClientMap::ClientMap(std::vector<std::string> regions, BlockTable blocks)
    : regions_(std::move(regions)), blocks_(std::move(blocks)) {}

std::optional<std::string> ClientMap::RegionOf(std::uint32_t address) const {
  const auto region_index = blocks_.Find(address);
  if (!region_index)
    return std::nullopt;
  return regions_[*region_index];
}

std::shared_ptr<const ClientMap> BuildClientMap(
    const settings::FleetSettings& fleet) {
  if (fleet.client_blocks.empty())
    return nullptr;
  std::vector<std::string> regions;
  std::vector<ClientBlock> blocks;
  for (const auto& [region, texts] : fleet.client_blocks) {
    const auto region_index = static_cast<RegionIndex>(regions.size());
    regions.push_back(region);
    for (const std::string& text : texts) {
      if (const auto block = ParseClientBlock(text, region_index))
        blocks.push_back(*block);
    }
  }
  return std::make_shared<const ClientMap>(std::move(regions),
                                           BlockTable(std::move(blocks)));
}

}  // namespace jacinth::steering
