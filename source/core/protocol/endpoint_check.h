#pragma once

#include <cstdint>

#include "core/protocol/endpoint_list.h"

namespace jacinth::protocol {

/// Largest number of slots of a listed endpoint; that of the setting `slots`.
inline constexpr std::int64_t kMaxListedSlots = 10'000;

/// Returns true if requests can be sent to the endpoint: its id and service
/// consist of visible ASCII characters, as the id is sent in a header, its
/// address is a numeric `ip:port`, and its slots and warm-up are in range.
bool IsUsable(const ListedEndpoint& endpoint);

}  // namespace jacinth::protocol
