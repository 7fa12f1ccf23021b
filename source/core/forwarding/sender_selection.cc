#include "core/forwarding/sender_selection.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

/// Number of values of a hash.
constexpr double kHashRange = 0x1p64;

}  // namespace

SenderSelection::SenderSelection(std::string self,
                                 std::vector<std::string> entries)
    : self_(std::move(self)),
      entries_(std::make_shared<const std::vector<std::string>>(
          std::move(entries))) {}

SenderSelection::SenderSelection() : SenderSelection("", {}) {}

SenderSelection SenderSelection::OfUnknownFleet(std::string self,
                                                std::size_t max_entries) {
  SenderSelection selection(std::move(self), {});
  selection.assumed_entries_ = max_entries;
  return selection;
}

bool SenderSelection::IsSelected(const std::string& endpoint,
                                 std::size_t max_senders) const {
  if (std::max(entries_->size(), assumed_entries_) <= max_senders)
    return true;
  const std::uint64_t seed = Hash64(endpoint);
  const std::uint64_t own_hash = Hash64(self_, seed);
  if (assumed_entries_ != 0) {
    return static_cast<double>(own_hash) / kHashRange <
           static_cast<double>(max_senders) /
               static_cast<double>(assumed_entries_);
  }
  const auto entries_ahead = std::count_if(
      entries_->begin(), entries_->end(),
      [&](const std::string& entry) { return Hash64(entry, seed) > own_hash; });
  return static_cast<std::size_t>(entries_ahead) < max_senders;
}

bool SenderSelection::operator==(const SenderSelection& other) const {
  return self_ == other.self_ && assumed_entries_ == other.assumed_entries_ &&
         *entries_ == *other.entries_;
}

}  // namespace jacinth::forwarding
