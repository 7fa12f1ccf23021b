#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jacinth::forwarding {

/// Selects the region in which a new object is placed: the region in which it
/// is requested, as far as that region's capacity allows. Assumes that equal
/// shares of the objects are requested in all regions. Objects that exceed the
/// capacity of a small region are placed in regions with spare capacity.
class RegionSelector {
 public:
  /// `slots` holds the number of usable slots of each region.
  explicit RegionSelector(std::map<std::string, double> slots);

  /// Returns the region in which to place an object that is requested in
  /// `home_region`. Returns an empty string if no region has slots.
  std::string SelectRegion(const std::string& home_region,
                           std::uint64_t object_hash) const;

 private:
  std::map<std::string, double> slots_;
  double total_slots_ = 0;
};

}  // namespace jacinth::forwarding
