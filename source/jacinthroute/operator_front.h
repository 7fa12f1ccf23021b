#pragma once

#include <functional>
#include <memory>

#include "core/control/control_actions.h"
#include "core/control/control_event.h"
#include "core/http/transaction.h"

namespace jacinth {

/// How an operators' interface reaches the control node; the reply comes later,
/// on the same thread.
class OperatorCalls {
 public:
  using ReplyHandler = std::function<void(control::AdminReply)>;
  using MakeEvent = std::function<control::ControlEvent(control::AdminTicket)>;

  virtual ~OperatorCalls() = default;

  virtual void Submit(const MakeEvent& make_event, ReplyHandler on_reply) = 0;
};

/// An operators' interface other than the product's own. Lives on the thread of
/// the io_context.
class OperatorFront {
 public:
  virtual ~OperatorFront() = default;

  virtual void Handle(const std::shared_ptr<http::Transaction>& request) = 0;
};

}  // namespace jacinth
