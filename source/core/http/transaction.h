#pragma once

#include <functional>

#include "core/http/message.h"

namespace jacinth::http {

/// One request that an EventServer has read and that waits for its answer.
/// Lives on the server's thread. Dropped without an answer, it closes the
/// connection.
class Transaction {
 public:
  virtual ~Transaction() = default;

  virtual const Request& request() const = 0;

  /// Sends the answer; without effect if the caller has gone.
  virtual void Respond(Response response) = 0;

  /// `on_gone` is called once if the caller closes its connection before the
  /// answer.
  virtual void OnGone(std::function<void()> on_gone) = 0;
};

}  // namespace jacinth::http
