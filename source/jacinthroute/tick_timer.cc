#include "jacinthroute/tick_timer.h"

#include <algorithm>
#include <utility>

#include "core/common/process_clock.h"

namespace jacinth {

TickTimer::TickTimer(asio::io_context& context, std::function<void()> on_tick)
    : timer_(context), on_tick_(std::move(on_tick)) {}

void TickTimer::Schedule(Time wake) {
  const Time now = MonotonicNow();
  if (due_ > now && due_ <= wake)
    return;
  due_ = std::max(wake, now);
  timer_.expires_after(due_ - now);
  timer_.async_wait([this](asio::error_code error) {
    if (!error)
      on_tick_();
  });
}

}  // namespace jacinth
