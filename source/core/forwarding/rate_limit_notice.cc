#include "core/forwarding/rate_limit_notice.h"

#include "core/common/decimal.h"

namespace jacinth::forwarding {

std::optional<RateLimitNotice> ParseRateLimitNotice(std::string_view text) {
  if (text.empty())
    return RateLimitNotice{};
  const auto per_second = ParseDecimal(text);
  if (!per_second)
    return std::nullopt;
  return RateLimitNotice{per_second};
}

}  // namespace jacinth::forwarding
