#pragma once

#include <optional>
#include <string_view>

namespace jacinth::forwarding {

/// What an answer of an endpoint says about the endpoint's rate limit.
struct RateLimitNotice {
  /// Requests per second that the endpoint accepts from all entries together,
  /// at least 0; empty if the answer names no limit.
  std::optional<double> per_second;

  bool operator==(const RateLimitNotice&) const = default;
};

/// Parses the header in which an endpoint names its limit; `text` is empty if
/// the answer has none. Returns nullopt if the limit is malformed.
std::optional<RateLimitNotice> ParseRateLimitNotice(std::string_view text);

}  // namespace jacinth::forwarding
