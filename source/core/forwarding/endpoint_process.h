#pragma once

#include <cstdint>
#include <string>

namespace jacinth::forwarding {

/// Tells one process of an endpoint from later ones under the same name.
struct EndpointProcess {
  std::string address;
  /// Start time in Unix milliseconds; 0 if it is unknown.
  std::int64_t started_ms = 0;

  bool operator==(const EndpointProcess&) const = default;
};

/// Returns true if `other` certainly started after `process`. A listing that
/// lags behind shows an earlier process, which is not a later one.
bool IsLaterProcess(const EndpointProcess& process,
                    const EndpointProcess& other);

}  // namespace jacinth::forwarding
