#include "core/forwarding/endpoint_notices.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "core/common/decimal.h"
#include "core/common/name_table.h"
#include "core/common/split.h"

namespace jacinth::forwarding {
namespace {

constexpr std::array kNames = {
    NamedValue<NoticeKind>{NoticeKind::kLeaving, "leaving"},
    NamedValue<NoticeKind>{NoticeKind::kWait, "wait"},
    NamedValue<NoticeKind>{NoticeKind::kRateLimit, "rate_limit"},
};

}  // namespace

std::string_view NoticeKindName(NoticeKind kind) {
  return EnumName(kNames, kind);
}

std::optional<bool> ParseLeaving(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (trimmed.empty() || trimmed == "0")
    return false;
  return trimmed == "1" ? std::optional(true) : std::nullopt;
}

std::optional<Duration> ParseWait(std::string_view text) {
  using Seconds = std::chrono::duration<double>;
  const auto seconds = ParseDecimal(text);
  if (!seconds)
    return std::nullopt;
  // Rounded up, so that no request is sent before the time is over.
  return std::chrono::ceil<Duration>(
      std::min(Seconds(*seconds), Seconds(kMaxWait)));
}

}  // namespace jacinth::forwarding
