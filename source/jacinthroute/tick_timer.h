#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/time.h"

namespace jacinth {

/// Calls a node's tick no later than the node has asked for.
class TickTimer {
 public:
  TickTimer(asio::io_context& context, std::function<void()> on_tick);

  /// Asks for a tick at `wake`; one that is due earlier stays.
  void Schedule(Time wake);

 private:
  asio::steady_timer timer_;
  std::function<void()> on_tick_;
  Time due_{};
};

}  // namespace jacinth
