#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <httplib.h>
#include <string>

#include "core/common/time.h"

namespace jacinth::http {

/// An accepted connection. Has its own read buffer, so that it can stay idle
/// between requests without a thread. The destructor closes the socket.
class ServerConnection : public httplib::Stream {
 public:
  /// `open_connections` counts the connections that exist.
  ServerConnection(socket_t socket,
                   Duration timeout,
                   std::atomic<std::size_t>& open_connections);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Starts the timeout for receiving a complete request.
  void StartRequestTimeout(Time now) { read_deadline_ = now + timeout_; }

  /// Returns true if input is available or the caller has closed the
  /// connection.
  bool HasInput() const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  static constexpr std::size_t kBufferSize = 4'096;

  socket_t socket_;
  Duration timeout_;
  std::atomic<std::size_t>& open_connections_;
  Time read_deadline_{};
  std::array<char, kBufferSize> buffer_{};
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace jacinth::http
