#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jacinth::forwarding {

/// Decides in which region an object that nobody knows yet is placed: in the
/// region it is asked for, as far as that region's capacity goes. Regions are
/// taken to ask for equal parts; what a small region can't hold is placed in
/// the regions that have capacity to spare.
class RegionShare {
 public:
  /// `slots` are the usable slots of each region.
  explicit RegionShare(std::map<std::string, double> slots);

  /// Region for an object that is asked for in `home`; `draw` is the object's
  /// hash. Empty if no region has slots.
  std::string RegionFor(const std::string& home, std::uint64_t draw) const;

 private:
  std::map<std::string, double> slots_;
  double total_ = 0;
};

}  // namespace jacinth::forwarding
