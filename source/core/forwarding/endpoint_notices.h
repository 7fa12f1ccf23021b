#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Statements about an endpoint that its answers may hold.
enum class NoticeKind { kLeaving, kWait, kRateLimit };

/// Returns the name of a statement in logs.
std::string_view NoticeKindName(NoticeKind kind);

/// What an answer says about its endpoint, besides its load and rate limit.
struct EndpointNotices {
  /// The endpoint is about to stop and wants no new requests.
  bool leaving = false;
  /// The endpoint refused the request and wants none from this entry for this
  /// long.
  std::optional<Duration> wait;
  /// Statements that are malformed, and therefore change nothing.
  std::vector<NoticeKind> unreadable;

  bool operator==(const EndpointNotices&) const = default;
};

/// Longest wait that an endpoint can ask for; a longer one counts as this.
inline constexpr Duration kMaxWait = std::chrono::hours(1);

/// Parses the statement that an endpoint is leaving: `1` if it is, `0` or
/// nothing if not. Returns nullopt if it is malformed.
std::optional<bool> ParseLeaving(std::string_view text);

/// Parses the time in seconds, a decimal number, for which an endpoint wants no
/// requests. Returns nullopt if it is malformed. A date is malformed, as its
/// meaning would depend on the clocks.
std::optional<Duration> ParseWait(std::string_view text);

}  // namespace jacinth::forwarding
