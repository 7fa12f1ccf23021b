#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/protocol/envelope.h"

namespace jacinth {

/// Runs an EntryNode: serves the HTTP requests of callers, sends HTTP requests
/// to endpoints and exchanges messages with the control role, all on the thread
/// of the io_context.
class EntryHost {
 public:
  virtual ~EntryHost() = default;

  virtual Result<void> Start() = 0;

  /// Starts a planned stop: removes this instance from look-up answers, lets
  /// the requests in flight finish, then calls `done`.
  virtual void BeginStop(std::function<void()> done) = 0;

  /// Closes all connections. Must be called after the io_context has stopped.
  virtual void Shutdown() = 0;

  virtual void OnMessage(const std::string& from,
                         protocol::Envelope envelope) = 0;

  /// Replaces the instances to contact for the control group.
  virtual void SetContacts(std::vector<std::string> contacts) = 0;
};

}  // namespace jacinth
