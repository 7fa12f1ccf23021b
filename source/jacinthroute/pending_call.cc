#include "jacinthroute/pending_call.h"

#include <utility>

namespace jacinth {

void PendingCall::Give(CallOrder order) {
  const std::lock_guard lock(mutex_);
  order_ = std::move(order);
  ready_.notify_one();
}

std::optional<CallOrder> PendingCall::WaitFor(Duration limit) {
  std::unique_lock lock(mutex_);
  ready_.wait_for(lock, limit, [&] { return order_.has_value(); });
  return std::exchange(order_, std::nullopt);
}

}  // namespace jacinth
