#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace jacinth::test {

/// Responds to the first request of each connection with fixed bytes and closes
/// the connection.
class RawServer {
 public:
  explicit RawServer(std::string response);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const;
  /// Returns the number of requests received over all connections.
  int request_count() const { return request_count_; }

 private:
  void Run();

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::string response_;
  std::atomic<int> request_count_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

/// Sends `bytes` to `address` and returns the bytes received until the server
/// closes the connection or `response_count` response heads are complete.
std::string ExchangeRawBytes(const std::string& address,
                             const std::string& bytes,
                             int response_count = 1);

}  // namespace jacinth::test
