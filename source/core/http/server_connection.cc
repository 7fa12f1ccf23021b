#include "core/http/server_connection.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "core/common/process_clock.h"

namespace jacinth::http {
namespace {

// Returns true if the socket is ready for `events` within `max_wait`.
bool Poll(socket_t socket, short events, Duration max_wait) {
  pollfd descriptor{socket, events, 0};
  const auto timeout_ms = std::max<std::int64_t>(0, ToMillis(max_wait));
  return poll(&descriptor, 1, static_cast<int>(timeout_ms)) > 0;
}

void FormatAddress(const sockaddr_storage& address,
                   std::string& ip,
                   int& port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    port = ntohs(v4->sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    port = ntohs(v6->sin6_port);
  }
  ip = text.data();
}

}  // namespace

ServerConnection::ServerConnection(socket_t socket,
                                   Duration timeout,
                                   std::atomic<std::size_t>& open_connections)
    : socket_(socket), timeout_(timeout), open_connections_(open_connections) {
  ++open_connections_;
}

ServerConnection::~ServerConnection() {
  ::shutdown(socket_, SHUT_RDWR);
  ::close(socket_);
  --open_connections_;
}

bool ServerConnection::HasInput() const {
  return begin_ != end_ || Poll(socket_, POLLIN, Duration{0});
}

bool ServerConnection::is_readable() const {
  return begin_ != end_ ||
         Poll(socket_, POLLIN, read_deadline_ - MonotonicNow());
}

bool ServerConnection::is_writable() const {
  return Poll(socket_, POLLOUT, timeout_);
}

ssize_t ServerConnection::read(char* data, std::size_t size) {
  if (begin_ == end_) {
    if (!is_readable())
      return -1;
    const ssize_t count =
        ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (count <= 0)
      return count;
    begin_ = 0;
    end_ = static_cast<std::size_t>(count);
  }
  const std::size_t count = std::min(size, end_ - begin_);
  std::memcpy(data, buffer_.data() + begin_, count);
  begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t ServerConnection::write(const char* data, std::size_t size) {
  // Writes all bytes: cpp-httplib does not continue after a partial write.
  std::size_t written = 0;
  while (written < size) {
    if (!is_writable())
      return -1;
    const ssize_t count = ::send(socket_, data + written, size - written,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN && errno != EINTR)
      return -1;
    written += count < 0 ? 0 : static_cast<std::size_t>(count);
  }
  return static_cast<ssize_t>(size);
}

void ServerConnection::get_remote_ip_and_port(std::string& ip,
                                              int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    FormatAddress(address, ip, port);
}

void ServerConnection::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    FormatAddress(address, ip, port);
}

}  // namespace jacinth::http
