#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/protocol/envelope.h"

namespace jacinth {

/// Carries out the actions of an EntryNode: callers' HTTP, endpoints' HTTP and
/// the links to the control role, all on the thread of the io_context.
class EntryHost {
 public:
  virtual ~EntryHost() = default;

  virtual Result<void> Start() = 0;

  /// Leaves the look-ups and lets requests end, then calls `done`.
  virtual void BeginStop(std::function<void()> done) = 0;

  /// Closes all connections; call after the io_context has stopped.
  virtual void Shutdown() = 0;

  virtual void OnMessage(const std::string& from,
                         protocol::Envelope envelope) = 0;

  /// The settings file names other instances to ask for the control group.
  virtual void SetContacts(std::vector<std::string> contacts) = 0;
};

}  // namespace jacinth
