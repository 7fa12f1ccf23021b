#pragma once

#include <string>

namespace jacinth::protocol {

/// Where an instance runs. Both are empty if that is unknown.
struct Location {
  std::string region;
  std::string failure_domain;

  bool operator==(const Location&) const = default;

  bool IsKnown() const { return !region.empty() && !failure_domain.empty(); }
};

}  // namespace jacinth::protocol
