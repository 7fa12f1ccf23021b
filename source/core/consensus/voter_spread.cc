#include "core/consensus/voter_spread.h"

#include <map>
#include <string_view>
#include <utility>

namespace jacinth::consensus {

VoterSpread MeasureSpread(const std::vector<protocol::Location>& voters) {
  const std::size_t sparable = voters.empty() ? 0 : (voters.size() - 1) / 2;
  std::map<std::string_view, std::size_t> regions;
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> domains;
  VoterSpread spread;
  for (const protocol::Location& location : voters) {
    if (!location.IsKnown()) {
      ++spread.region_crowding;
      ++spread.domain_crowding;
      continue;
    }
    ++regions[location.region];
    ++domains[{location.region, location.failure_domain}];
  }
  const auto add_place = [&](std::size_t count, std::size_t& crowding) {
    crowding += count * count;
    spread.excess += count > sparable ? count - sparable : 0;
  };
  for (const auto& [region, count] : regions)
    add_place(count, spread.region_crowding);
  for (const auto& [domain, count] : domains)
    add_place(count, spread.domain_crowding);
  return spread;
}

}  // namespace jacinth::consensus
