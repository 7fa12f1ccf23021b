#include "core/http/connection_parker.h"

#include <chrono>
#include <utility>

#include <asio/post.hpp>

#include "core/common/process_clock.h"

namespace jacinth::http {
namespace {

constexpr Duration kSweepInterval = 500ms;

}  // namespace

struct ConnectionParker::Parked {
  Parked(asio::io_context& context,
         std::shared_ptr<ServerConnection> parked_connection,
         Time parked_since)
      : connection(std::move(parked_connection)),
        descriptor(context, connection->socket()),
        since(parked_since) {}

  // Leaves the socket open: the ServerConnection owns it.
  ~Parked() { descriptor.release(); }
  Parked(const Parked&) = delete;
  Parked& operator=(const Parked&) = delete;

  std::shared_ptr<ServerConnection> connection;
  asio::posix::stream_descriptor descriptor;
  Time since;
};

ConnectionParker::ConnectionParker(Duration idle_timeout, ReadyHandler on_ready)
    : work_(asio::make_work_guard(context_)),
      timer_(context_),
      idle_timeout_(idle_timeout),
      on_ready_(std::move(on_ready)) {
  Sweep();
  thread_ = std::thread([this] { context_.run(); });
}

ConnectionParker::~ConnectionParker() {
  Stop();
}

void ConnectionParker::Park(std::shared_ptr<ServerConnection> connection) {
  asio::post(context_,
             [this, connection = std::move(connection)] { Add(connection); });
}

void ConnectionParker::Stop() {
  context_.stop();
  if (thread_.joinable())
    thread_.join();
  parked_.clear();
}

void ConnectionParker::Add(
    const std::shared_ptr<ServerConnection>& connection) {
  auto row = std::make_shared<Parked>(context_, connection, MonotonicNow());
  parked_[connection.get()] = row;
  row->descriptor.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, key = connection.get()](asio::error_code error) {
        const auto found = parked_.find(key);
        if (error || found == parked_.end())
          return;
        std::shared_ptr<ServerConnection> ready = found->second->connection;
        parked_.erase(found);
        on_ready_(std::move(ready));
      });
}

void ConnectionParker::Sweep() {
  const Time now = MonotonicNow();
  std::erase_if(parked_, [&](const auto& item) {
    return now > item.second->since + idle_timeout_;
  });
  timer_.expires_after(kSweepInterval);
  timer_.async_wait([this](asio::error_code error) {
    if (!error)
      Sweep();
  });
}

}  // namespace jacinth::http
