#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/settings/endpoint_settings.h"
#include "core/settings/kind_settings.h"

namespace jacinth::settings {

/// Settings of one service. Fields without a comment are described under the
/// same key in tree_table.cc.
struct ServiceSettings {
  std::string name;
  /// How long callers may cache a look-up answer.
  Duration ttl{0};
  /// TTL by home region of the caller; takes precedence over `ttl`.
  std::map<std::string, Duration> region_ttl;
  /// Weights that determine the share of callers per region; empty if no region
  /// has a weight.
  std::map<std::string, int> region_weight;
  Duration connect_timeout{0};
  int retry_budget_percent = 0;
  int normal_share_percent = 0;
  int background_share_percent = 0;
  int shift_cap_percent = 0;
  Duration shift_window{0};
  Duration probe_interval{0};
  int probe_failures = 0;
  std::string health_path;
  int endpoint_connections = 0;
  int endpoint_queue_percent = 100;
  int endpoint_wait_percent = 100;
  /// Time after its start during which an endpoint is cold.
  Duration warmup{0};
  /// Requests per second that a cold endpoint can handle; 0 for no limit.
  double warmup_per_s = 0;
  /// Sorted by path prefix, longest first.
  std::vector<KindSettings> kinds;
  std::vector<EndpointSettings> endpoints;

  /// Returns the kind of a request, or nullptr if none matches.
  const KindSettings* FindKind(std::string_view method,
                               std::string_view path) const;

  bool operator==(const ServiceSettings&) const = default;
};

}  // namespace jacinth::settings
