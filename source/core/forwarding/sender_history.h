#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "core/common/time.h"
#include "core/forwarding/sender_selection.h"

namespace jacinth::forwarding {

/// The selection of senders in force, and those that it has replaced lately.
///
/// Entries learn of others at different times. An entry that is selected by a
/// new list waits for the one whose place it takes: until that one has the list
/// as well, and what it has sent no longer counts.
class SenderHistory {
 public:
  /// Time for which the selections before the one in force count.
  static constexpr Duration kHandoverTime = 2s;

  SenderHistory() = default;
  /// A selection that replaces none.
  explicit SenderHistory(SenderSelection selection);

  /// Sets the selection in force.
  void Set(SenderSelection selection, Time now);

  /// Returns true if this entry is one of at most `max_senders` that may send
  /// to the endpoint, and has been for the time of a handover.
  bool IsSelected(const std::string& endpoint,
                  std::size_t max_senders,
                  Time now) const;

 private:
  struct Replaced {
    SenderSelection selection;
    Time until;
  };

  SenderSelection current_;
  bool is_set_ = false;
  std::deque<Replaced> replaced_;
};

}  // namespace jacinth::forwarding
