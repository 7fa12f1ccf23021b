#include "core/http/idle_connection_watcher.h"

#include <chrono>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"

namespace jacinth::http {
namespace {

constexpr Duration kExpiryCheckInterval = 500ms;

}  // namespace

struct IdleConnectionWatcher::IdleConnection {
  IdleConnection(asio::io_context& context,
                 std::shared_ptr<ServerConnection> server_connection,
                 Time idle_start)
      : connection(std::move(server_connection)),
        descriptor(context, connection->socket()),
        idle_since(idle_start) {}

  // Leaves the socket open: the ServerConnection owns it.
  ~IdleConnection() { descriptor.release(); }
  IdleConnection(const IdleConnection&) = delete;
  IdleConnection& operator=(const IdleConnection&) = delete;

  std::shared_ptr<ServerConnection> connection;
  asio::posix::stream_descriptor descriptor;
  Time idle_since;
};

IdleConnectionWatcher::IdleConnectionWatcher(Duration idle_timeout,
                                             ReadyHandler on_ready)
    : work_guard_(asio::make_work_guard(context_)),
      timer_(context_),
      idle_timeout_(idle_timeout),
      on_ready_(std::move(on_ready)) {
  CloseExpired();
  thread_ = std::thread([this] { context_.run(); });
}

IdleConnectionWatcher::~IdleConnectionWatcher() {
  Stop();
}

void IdleConnectionWatcher::Watch(
    std::shared_ptr<ServerConnection> connection) {
  asio::post(context_,
             [this, connection = std::move(connection)] { Add(connection); });
}

void IdleConnectionWatcher::Stop() {
  context_.stop();
  if (thread_.joinable())
    thread_.join();
  idle_connections_.clear();
}

void IdleConnectionWatcher::Add(
    const std::shared_ptr<ServerConnection>& connection) {
  auto idle_connection =
      std::make_shared<IdleConnection>(context_, connection, MonotonicNow());
  idle_connections_[connection.get()] = idle_connection;
  idle_connection->descriptor.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, key = connection.get()](asio::error_code error) {
        const auto found = idle_connections_.find(key);
        if (error || found == idle_connections_.end())
          return;
        std::shared_ptr<ServerConnection> ready = found->second->connection;
        idle_connections_.erase(found);
        on_ready_(std::move(ready));
      });
}

void IdleConnectionWatcher::CloseExpired() {
  const Time now = MonotonicNow();
  std::erase_if(idle_connections_, [&](const auto& item) {
    return now > item.second->idle_since + idle_timeout_;
  });
  timer_.expires_after(kExpiryCheckInterval);
  timer_.async_wait([this](asio::error_code error) {
    if (!error)
      CloseExpired();
  });
}

}  // namespace jacinth::http
