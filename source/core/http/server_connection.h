#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <httplib.h>
#include <string>

#include "core/common/time.h"

namespace jacinth::http {

/// An accepted connection, read through a buffer of its own so that it can be
/// set aside between requests. Closed with the object.
class ServerConnection : public httplib::Stream {
 public:
  /// `open_connections` is kept at the number of connections that exist.
  ServerConnection(socket_t socket,
                   Duration timeout,
                   std::atomic<std::size_t>& open_connections);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Starts the time that one request may take to arrive as a whole.
  void StartRequest(Time now) { read_deadline_ = now + timeout_; }

  /// True if bytes of another request are here or the caller has closed.
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
