#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"

namespace jacinth::http {

/// Bounds of one server.
struct ServerOptions {
  /// `ip:port`; port 0 lets the system choose.
  std::string address;
  /// Requests served at once. An idle connection holds no thread.
  std::size_t threads = 16;
  /// Requests that may wait for a thread before further ones are refused.
  std::size_t max_waiting = 64;
  /// Connections open at once; on further ones, one request is refused.
  std::size_t max_connections = 4'096;
  std::size_t max_body_bytes = 1UL << 20U;
  /// Idle time after which a kept connection is closed.
  Duration idle_timeout = 5s;
  /// Longest time for a request to arrive as a whole.
  Duration read_timeout = 5s;
};

/// An HTTP/1.1 server on its own threads.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds and starts to serve.
  Result<void> Start();

  /// Stops accepting, lets requests in flight end and joins the threads.
  void Stop();

  /// Port bound.
  int port() const;

  /// Requests that wait for a thread.
  std::size_t waiting() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jacinth::http
