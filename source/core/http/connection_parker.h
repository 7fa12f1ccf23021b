#pragma once

#include <functional>
#include <map>
#include <memory>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/time.h"
#include "core/http/server_connection.h"

namespace jacinth::http {

/// Watches idle connections on a single thread. Hands a connection back once it
/// is readable, and closes connections that exceed the idle timeout.
class ConnectionParker {
 public:
  using ReadyHandler = std::function<void(std::shared_ptr<ServerConnection>)>;

  /// `on_ready` runs on the watching thread.
  ConnectionParker(Duration idle_timeout, ReadyHandler on_ready);
  ~ConnectionParker();
  ConnectionParker(const ConnectionParker&) = delete;
  ConnectionParker& operator=(const ConnectionParker&) = delete;

  void Park(std::shared_ptr<ServerConnection> connection);

  /// Closes all idle connections and joins the thread.
  void Stop();

 private:
  struct Parked;

  void Add(const std::shared_ptr<ServerConnection>& connection);
  void Sweep();

  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::steady_timer timer_;
  Duration idle_timeout_;
  ReadyHandler on_ready_;
  std::map<ServerConnection*, std::shared_ptr<Parked>> parked_;
  std::thread thread_;
};

}  // namespace jacinth::http
