#pragma once

#include <functional>
#include <string_view>

#include "core/http/message.h"

namespace jacinth::http {

/// A request received by an EventServer, and the means to respond to it. Must
/// be used on the server's thread. Closes the connection if it is destroyed
/// without a response.
class Transaction {
 public:
  virtual ~Transaction() = default;

  virtual const Request& request() const = 0;

  /// Returns the address on which the connection was accepted, as it was given
  /// to EventServer::Listen(). Valid as long as the server.
  virtual std::string_view listen_address() const = 0;

  /// Sends the response. Has no effect if the caller has disconnected.
  virtual void Respond(Response response) = 0;

  /// Registers a callback that runs once if the caller closes its connection
  /// before the response.
  virtual void OnDisconnect(std::function<void()> on_disconnect) = 0;
};

}  // namespace jacinth::http
