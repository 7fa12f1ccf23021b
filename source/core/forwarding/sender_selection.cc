#include "core/forwarding/sender_selection.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::forwarding {

SenderSelection::SenderSelection(std::string self,
                                 std::vector<std::string> entries)
    : self_(std::move(self)), entries_(std::move(entries)) {}

bool SenderSelection::IsSelected(const std::string& endpoint,
                                 std::size_t max_senders) const {
  if (entries_.size() <= max_senders)
    return true;
  const std::uint64_t seed = Hash64(endpoint);
  const std::uint64_t own_hash = Hash64(self_, seed);
  const auto entries_ahead = std::count_if(
      entries_.begin(), entries_.end(),
      [&](const std::string& entry) { return Hash64(entry, seed) > own_hash; });
  return static_cast<std::size_t>(entries_ahead) < max_senders;
}

}  // namespace jacinth::forwarding
