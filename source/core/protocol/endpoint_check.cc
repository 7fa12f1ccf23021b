#include "core/protocol/endpoint_check.h"

#include <algorithm>
#include <string_view>

#include "core/settings/setting_spec.h"

namespace jacinth::protocol {
namespace {

constexpr std::size_t kMaxNameBytes = 200;
/// Longest warm-up that is believed, in milliseconds: a day.
constexpr std::int64_t kMaxColdMs = 86'400'000;

bool IsVisibleName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

bool IsUsable(const ListedEndpoint& endpoint) {
  return IsVisibleName(endpoint.id) && IsVisibleName(endpoint.service) &&
         endpoint.slots > 0 && endpoint.slots <= kMaxListedSlots &&
         endpoint.cold_for_ms >= 0 && endpoint.cold_for_ms <= kMaxColdMs &&
         !settings::CheckValue(settings::SettingType::kAddress, {},
                               endpoint.address);
}

}  // namespace jacinth::protocol
