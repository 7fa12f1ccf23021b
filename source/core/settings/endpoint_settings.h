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
  /// Name of the endpoint process that the endpoint compares with the one in
  /// each request; empty if it does not check this.
  std::string incarnation;
  /// Start time of the endpoint in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
  /// Warm-up time that remained when the endpoint was listed.
  Duration remaining_warmup{0};
};

}  // namespace jacinth::settings
