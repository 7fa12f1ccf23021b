#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "core/common/time.h"

namespace jacinth::test {

/// How a RawServer ends a connection.
enum class ConnectionEnd {
  /// Ends the stream, then closes the connection. What the client still sends
  /// is answered with a reset.
  kShutdown,
  /// Closes the connection. Input that wasn't read makes that a reset.
  kClose,
  kReset,
  /// Ends the stream and reads until the client closes the connection.
  kLinger,
};

/// Configures what a RawServer sends.
struct RawServerOptions {
  std::string response;
  ConnectionEnd end = ConnectionEnd::kShutdown;
  /// Time between the response and the end of the connection.
  Duration end_delay{0};
  /// Requests whose head contains this text get an empty 200 response instead,
  /// such as probes; none if empty.
  std::string healthy_marker;
};

/// Responds to the first request of each connection with fixed bytes, as soon
/// as its head was received, and ends the connection.
class RawServer {
 public:
  explicit RawServer(std::string response);
  explicit RawServer(RawServerOptions options);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const;
  /// Returns the number of requests received over all connections, without
  /// those that got an empty 200 response.
  int request_count() const { return request_count_; }

 private:
  void Run();
  void End(asio::ip::tcp::socket& socket) const;

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  RawServerOptions options_;
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
