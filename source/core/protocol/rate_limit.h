#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jacinth::protocol {

/// Names an endpoint. Endpoints that the settings name are unique only within
/// their service.
struct EndpointKey {
  std::string service;
  std::string endpoint;

  bool operator==(const EndpointKey&) const = default;
  bool operator<(const EndpointKey& other) const {
    return std::tie(service, endpoint) <
           std::tie(other.service, other.endpoint);
  }
};

/// Sent by an entry to the control role: what an endpoint has told this entry
/// about its rate limit, and how many requests the entry has for it.
struct RateLimitReport {
  EndpointKey key;
  /// Start time of the endpoint, which distinguishes it from an earlier one of
  /// the same id; see ListedEndpoint.
  std::int64_t started_ms = 0;
  /// Limit in the endpoint's last answer to this entry; empty if it named none.
  std::optional<double> limit_per_s;
  /// True if the endpoint has ever named a limit to this entry.
  bool was_told = false;
  /// Age of the endpoint's last answer, in milliseconds; negative if it has not
  /// answered this entry yet.
  std::int64_t answer_age_ms = -1;
  /// Requests per second that this entry sends to the endpoint, or would send
  /// without the limit.
  double demand_per_s = 0;
  /// Limit of all entries together that the leader last sent to this entry.
  std::optional<double> shared_limit_per_s;

  bool operator==(const RateLimitReport&) const = default;
};

/// The share that one entry has of an endpoint's rate limit.
struct RateShare {
  EndpointKey key;
  std::int64_t started_ms = 0;
  /// Limit of all entries together.
  double limit_per_s = 0;
  double share_per_s = 0;

  bool operator==(const RateShare&) const = default;
};

/// All shares of one entry, or their changes.
struct RateShareUpdate {
  /// Term of the leader, in the upper 32 bits, and a counter in the lower ones;
  /// 0 if the leader doesn't know the limits yet.
  std::uint64_t version = 0;
  /// True if the entry already holds this version, so that `shares` is omitted.
  bool unchanged = false;
  /// Sorted by endpoint if `base` is 0.
  std::vector<RateShare> shares;
  /// Version since which `shares` and `removed` hold the changes; 0 if `shares`
  /// holds all shares.
  std::uint64_t base = 0;
  /// Endpoints that have no limit any more.
  std::vector<EndpointKey> removed;

  bool operator==(const RateShareUpdate&) const = default;
};

/// Applies an update to the shares that an entry holds. Returns false if it is
/// not newer, or if changes before it are missing.
bool ApplyRateShares(const RateShareUpdate& update, RateShareUpdate& held);

}  // namespace jacinth::protocol
