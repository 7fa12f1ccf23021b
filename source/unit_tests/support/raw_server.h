#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace jacinth::test {

/// Answers each connection's first request with fixed bytes and closes.
class RawServer {
 public:
  explicit RawServer(std::string answer);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const;
  /// Requests received, over all connections.
  int requests() const { return requests_; }

 private:
  void Run();

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
  std::atomic<int> requests_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

/// Sends bytes to `address` and returns what comes until the other end closes
/// or `answers` heads of answers have come.
std::string Talk(const std::string& address,
                 const std::string& bytes,
                 int answers = 1);

}  // namespace jacinth::test
