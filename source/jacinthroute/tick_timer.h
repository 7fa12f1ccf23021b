#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/time.h"

namespace jacinth {

/// Delivers ticks to a node no later than the time that the node requests.
class TickTimer {
 public:
  TickTimer(asio::io_context& context, std::function<void()> on_tick);

  /// Schedules a tick at `wake` unless one is already scheduled earlier.
  void Schedule(Time wake);

 private:
  asio::steady_timer timer_;
  std::function<void()> on_tick_;
  Time due_{};
};

}  // namespace jacinth
