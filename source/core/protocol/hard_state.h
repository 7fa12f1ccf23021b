#pragma once

#include <cstdint>
#include <string>

namespace jacinth::protocol {

/// The term and vote of a replica, which must be synced before any message that
/// depends on them is sent.
struct HardState {
  std::uint64_t term = 0;
  std::string vote;

  bool operator==(const HardState&) const = default;
};

}  // namespace jacinth::protocol
