#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <variant>

#include "core/common/time.h"
#include "core/entry/entry_actions.h"

namespace jacinth {

/// What a traffic thread is told to do next for its request.
using CallOrder = std::variant<entry::StartAttempt, entry::RequestAnswer>;

/// A request's place between its traffic thread and the control thread.
class PendingCall {
 public:
  /// Called on the control thread.
  void Give(CallOrder order);

  /// Called on the traffic thread; waits for the next order, for `limit` at
  /// most.
  std::optional<CallOrder> WaitFor(Duration limit);

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<CallOrder> order_;
};

}  // namespace jacinth
