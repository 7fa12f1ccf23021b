#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jacinth::control {

/// An endpoint that may own slices.
struct SliceHost {
  std::string service;
  std::string region;
  int slots = 1;
  /// False if it can't take over slices at the moment, as it is cold.
  bool may_gain = true;
};

/// A slice as the balancer sees it.
struct SliceLoad {
  std::string owner;
  /// Requests at the owner at a time, running or waiting, on average.
  double requests = 0;
  /// False if the slice was moved a short while ago.
  bool may_move = true;
};

/// A slice that gets another owner: its place in the list, and the endpoint.
struct SliceMove {
  std::size_t slice = 0;
  std::string to;

  bool operator==(const SliceMove&) const = default;
};

/// Chooses which slices to move so that no owner has requests waiting while
/// others of its service and region have idle slots, with few moves: the object
/// of a moved slice is cold once. After the load balancer of Slicer (Adya et
/// al., 2016).
std::vector<SliceMove> BalanceSlices(
    const std::map<std::string, SliceHost>& hosts,
    const std::vector<SliceLoad>& slices);

}  // namespace jacinth::control
