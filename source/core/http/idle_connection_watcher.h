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
class IdleConnectionWatcher {
 public:
  using ReadyHandler = std::function<void(std::shared_ptr<ServerConnection>)>;

  /// `on_ready` runs on the watching thread.
  IdleConnectionWatcher(Duration idle_timeout, ReadyHandler on_ready);
  ~IdleConnectionWatcher();
  IdleConnectionWatcher(const IdleConnectionWatcher&) = delete;
  IdleConnectionWatcher& operator=(const IdleConnectionWatcher&) = delete;

  void Watch(std::shared_ptr<ServerConnection> connection);

  /// Closes all idle connections and joins the thread.
  void Stop();

 private:
  struct IdleConnection;

  void Add(const std::shared_ptr<ServerConnection>& connection);
  void CloseExpired();

  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  asio::steady_timer timer_;
  Duration idle_timeout_;
  ReadyHandler on_ready_;
  std::map<ServerConnection*, std::shared_ptr<IdleConnection>>
      idle_connections_;
  std::thread thread_;
};

}  // namespace jacinth::http
