#pragma once

#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace jacinth::settings {

/// Settings of one endpoint of a service.
struct EndpointSettings {
  std::string name;
  /// `ip:port`.
  std::string address;
  std::string region;
  std::string failure_domain;
  /// Number of requests that the endpoint runs concurrently.
  int slots = 1;
  /// True if an operator drains the endpoint, its failure domain or its region.
  bool drained = false;
  /// Id that is sent with each request, so that the endpoint can refuse
  /// requests meant for another one; empty if the endpoint does not check it.
  std::string incarnation;
  /// Start time of the endpoint in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
  /// Time for which the endpoint remains cold after these settings are applied.
  Duration remaining_warmup{0};

  bool operator==(const EndpointSettings&) const = default;
};

}  // namespace jacinth::settings
