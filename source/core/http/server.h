#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"

namespace jacinth::http {

/// Address and limits of a server.
struct ServerOptions {
  /// `ip:port`; with port 0 the system chooses a free port.
  std::string address;
  /// Number of requests served concurrently. Idle connections use no thread.
  std::size_t threads = 16;
  /// Bound on the requests queued for a thread; further ones are refused.
  std::size_t max_queued_requests = 64;
  /// Bound on the open connections. While it is exceeded, each request is
  /// refused and its connection is closed.
  std::size_t max_connections = 4'096;
  std::size_t max_body_bytes = 1UL << 20U;
  /// Idle time after which a persistent connection is closed.
  Duration idle_timeout = 5s;
  /// Bound on the time to receive a complete request.
  Duration read_timeout = 5s;
};

/// A blocking HTTP/1.1 server with its own thread pool.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds the address and starts serving.
  Result<void> Start();

  /// Stops accepting, completes the requests in flight and joins the threads.
  void Stop();

  /// Returns the bound port, also if the system has chosen it.
  int port() const;

  /// Number of requests queued for a thread.
  std::size_t queued_requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jacinth::http
