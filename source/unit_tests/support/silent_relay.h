#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace jacinth::test {

/// Passes TCP connections on to a target. After GoSilent, connections that are
/// open stay open and carry nothing more either way, as if a device between the
/// two ends had forgotten them, while new ones work.
class SilentRelay {
 public:
  explicit SilentRelay(int target_port);
  ~SilentRelay();
  SilentRelay(const SilentRelay&) = delete;
  SilentRelay& operator=(const SilentRelay&) = delete;

  int port() const { return port_; }
  void GoSilent() { ++epoch_; }
  /// Connections accepted so far.
  int accepted() const { return accepted_; }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept();
  void Copy(const Socket& from, const Socket& to, int epoch);

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  int port_ = 0;
  std::atomic<int> epoch_{0};
  std::atomic<int> accepted_{0};
  std::thread thread_;
};

}  // namespace jacinth::test
