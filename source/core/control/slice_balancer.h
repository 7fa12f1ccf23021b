#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jacinth::control {

/// An endpoint that may own slices.
struct SliceEndpoint {
  std::string service;
  std::string region;
  int slots = 1;
  /// False while the endpoint is cold.
  bool accepts_slices = true;
};

/// The owner and the load of a slice.
struct SliceLoad {
  std::string owner;
  /// Average number of concurrent requests at the owner, running or waiting.
  double requests = 0;
  /// False if the slice moved recently.
  bool is_movable = true;
};

/// A change of a slice's owner.
struct SliceMove {
  /// Index in the list of slices.
  std::size_t slice = 0;
  /// Id of the new owner.
  std::string to;

  bool operator==(const SliceMove&) const = default;
};

/// Chooses the slices to move so that no owner has requests waiting while other
/// endpoints of its service and region have idle slots. Keeps the number of
/// moves low, because the objects of a moved slice are cold at the new owner.
/// Follows the load balancer of Slicer (Adya et al., 2016).
std::vector<SliceMove> BalanceSlices(
    const std::map<std::string, SliceEndpoint>& endpoints,
    const std::vector<SliceLoad>& slices);

}  // namespace jacinth::control
