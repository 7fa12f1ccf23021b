#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/entry/entry_actions.h"
#include "core/entry/entry_event.h"
#include "core/protocol/entry_status.h"
#include "jacinthroute/relay_tag.h"

namespace jacinth {

/// Returns a random incarnation of an entry. It is the key of what others hand
/// over to it: only they know it, from the member list.
std::uint64_t MakeIncarnation();

/// Returns true if a request with this tag comes from an entry rather than from
/// a caller that poses as one. Entries of earlier builds, whose incarnations
/// are short, name no key.
bool IsFromEntry(const RelayTag& tag,
                 const protocol::EntryStatus& self,
                 const std::vector<protocol::EntryStatus>& members);

/// Returns the tag of a request that the entry `self` hands over.
RelayTag MakeRelayTag(const std::string& self, const entry::StartRelay& relay);

/// Sets what the tag of a request says, if it comes from an entry.
void ApplyRelayTag(const RelayTag& tag,
                   const protocol::EntryStatus& self,
                   const std::vector<protocol::EntryStatus>& members,
                   entry::RequestArrived& arrival);

}  // namespace jacinth
