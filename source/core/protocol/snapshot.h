#pragma once

#include <cstdint>
#include <string>

#include "core/protocol/configuration.h"

namespace jacinth::protocol {

/// The state of the state machine after the entry at `index` was applied.
/// Replaces the log up to that entry.
struct Snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  Configuration configuration;
  std::string state;

  bool operator==(const Snapshot&) const = default;
};

}  // namespace jacinth::protocol
