#include "core/forwarding/sender_history.h"

#include <algorithm>
#include <utility>

namespace jacinth::forwarding {

SenderHistory::SenderHistory(SenderSelection selection)
    : current_(std::move(selection)), is_set_(true) {}

void SenderHistory::Set(SenderSelection selection, Time now) {
  while (!replaced_.empty() && replaced_.front().until + kHandoverTime <= now)
    replaced_.pop_front();
  if (std::exchange(is_set_, true)) {
    if (selection == current_)
      return;
    replaced_.push_back({std::move(current_), now});
  }
  current_ = std::move(selection);
}

bool SenderHistory::IsSelected(const std::string& endpoint,
                               std::size_t max_senders,
                               Time now) const {
  if (!current_.IsSelected(endpoint, max_senders))
    return false;
  // The first list that an entry gets selects all that it names if these are
  // few: they take nobody's place.
  const bool selects_all = current_.entry_count() <= max_senders;
  return std::all_of(
      replaced_.begin(), replaced_.end(), [&](const Replaced& replaced) {
        const bool is_over = replaced.until + kHandoverTime <= now;
        const bool is_first_list =
            selects_all && replaced.selection.IsOfUnknownFleet();
        return is_over || is_first_list ||
               replaced.selection.IsSelected(endpoint, max_senders);
      });
}

}  // namespace jacinth::forwarding
