#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/settings/endpoint_settings.h"
#include "core/settings/kind_settings.h"

namespace jacinth::settings {

/// One service of the fleet.
struct ServiceSettings {
  std::string name;
  Duration ttl{0};
  /// TTL of look-ups answered by entries of a region that overrides it.
  std::map<std::string, Duration> region_ttl;
  /// Share of callers per region; empty if no region has a weight.
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
  /// Time for which an endpoint is cold after its start.
  Duration warmup{0};
  /// Requests per second that a cold endpoint bears; 0 for no limit.
  double warmup_per_s = 0;
  /// Longest path prefix first.
  std::vector<KindSettings> kinds;
  std::vector<EndpointSettings> endpoints;

  /// The kind of a request, or nullptr if no kind matches.
  const KindSettings* FindKind(std::string_view method,
                               std::string_view path) const;
};

}  // namespace jacinth::settings
