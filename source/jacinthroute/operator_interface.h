#pragma once

#include <functional>
#include <memory>

#include "core/control/control_actions.h"
#include "core/control/control_event.h"
#include "core/http/transaction.h"

namespace jacinth {

/// Accepts events for the control node from an operator interface.
class ControlEventSink {
 public:
  using ReplyHandler = std::function<void(control::AdminReply)>;
  using MakeEvent = std::function<control::ControlEvent(control::AdminTicket)>;

  virtual ~ControlEventSink() = default;

  /// Passes the event that `make_event` builds to the control node. Calls
  /// `on_reply` with the reply, on the thread of the io_context.
  virtual void SubmitEvent(const MakeEvent& make_event,
                           ReplyHandler on_reply) = 0;

  /// Calls `work`, which may take long, on the thread of the io_context after
  /// the node has sent the heartbeats that are due and handled the messages
  /// that have arrived.
  virtual void Defer(std::function<void()> work) = 0;
};

/// An operator interface that replaces the built-in administration API. Used on
/// the thread of the io_context.
class OperatorInterface {
 public:
  virtual ~OperatorInterface() = default;

  virtual void Handle(
      const std::shared_ptr<http::Transaction>& transaction) = 0;
};

}  // namespace jacinth
