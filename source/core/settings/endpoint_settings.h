#pragma once

#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace jacinth::settings {

/// One endpoint of a service.
struct EndpointSettings {
  std::string name;
  /// `ip:port`.
  std::string address;
  std::string region;
  std::string failure_domain;
  int slots = 1;
  /// Drained by the operator, itself or with its region or failure domain.
  bool drained = false;
  /// Name that the endpoint checks requests against; empty if it doesn't.
  std::string incarnation;
  /// Start of the endpoint in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
  /// How long the endpoint was still cold when it was listed.
  Duration cold_for{0};
};

}  // namespace jacinth::settings
