#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jacinth::forwarding {

/// Selects the region in which a new object is placed: the region that requests
/// it, as far as that region's capacity allows. Assumes that all regions
/// request equal shares of the objects. Objects that exceed the capacity of a
/// small region are placed in regions with spare capacity.
class RegionSelector {
 public:
  /// `slots` holds the number of usable slots of each region.
  explicit RegionSelector(std::map<std::string, double> slots);

  /// Returns the region for an object that is requested in `home`; `draw` is
  /// the hash of the object. Returns an empty string if no region has slots.
  std::string SelectRegion(const std::string& home, std::uint64_t draw) const;

 private:
  std::map<std::string, double> slots_;
  double total_slots_ = 0;
};

}  // namespace jacinth::forwarding
