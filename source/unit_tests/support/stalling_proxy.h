#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace jacinth::test {

/// Forwards TCP connections to a target port on the loopback interface.
/// StallOpenConnections() makes the open connections drop all data in both
/// directions without closing them, as after a firewall or NAT device has lost
/// its connection state. New connections work.
class StallingProxy {
 public:
  explicit StallingProxy(int target_port);
  ~StallingProxy();
  StallingProxy(const StallingProxy&) = delete;
  StallingProxy& operator=(const StallingProxy&) = delete;

  int port() const { return port_; }
  void StallOpenConnections() { ++epoch_; }
  /// Returns the number of connections accepted so far.
  int accepted_count() const { return accepted_count_; }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept();
  void Forward(const Socket& from, const Socket& to, int epoch);

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  int port_ = 0;
  /// Incremented by StallOpenConnections(). Connections of earlier epochs
  /// drop all data.
  std::atomic<int> epoch_{0};
  std::atomic<int> accepted_count_{0};
  std::thread thread_;
};

}  // namespace jacinth::test
