#include "unit_tests/support/raw_server.h"

#include <array>
#include <string_view>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace jacinth::test {
namespace {

using asio::ip::tcp;

constexpr std::string_view kHealthyResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

int CountOccurrences(const std::string& text, const std::string& pattern) {
  int count = 0;
  for (std::size_t position = text.find(pattern); position != std::string::npos;
       position = text.find(pattern, position + 1))
    ++count;
  return count;
}

tcp::endpoint Loopback(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

}  // namespace

RawServer::RawServer(std::string response)
    : RawServer({.response = std::move(response), .healthy_marker = ""}) {}

RawServer::RawServer(RawServerOptions options)
    : acceptor_(context_, Loopback(0)),
      options_(std::move(options)),
      thread_([this] { Run(); }) {}

RawServer::~RawServer() {
  stopped_ = true;
  asio::error_code ignored;
  tcp::socket wake_connection(context_);
  wake_connection.connect(acceptor_.local_endpoint(), ignored);
  thread_.join();
}

std::string RawServer::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void RawServer::Run() {
  while (true) {
    tcp::socket socket(context_);
    acceptor_.accept(socket);
    if (stopped_)
      return;
    std::string request;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error)
      continue;
    const bool healthy =
        !options_.healthy_marker.empty() &&
        request.find(options_.healthy_marker) != std::string::npos;
    if (healthy) {
      asio::write(socket, asio::buffer(kHealthyResponse), error);
      continue;
    }
    ++request_count_;
    asio::write(socket, asio::buffer(options_.response), error);
    End(socket);
  }
}

void RawServer::End(tcp::socket& socket) const {
  if (options_.end_delay > Duration{0})
    std::this_thread::sleep_for(options_.end_delay);
  asio::error_code error;
  switch (options_.end) {
    case ConnectionEnd::kShutdown:
      socket.shutdown(tcp::socket::shutdown_both, error);
      return;
    case ConnectionEnd::kClose:
      return;
    case ConnectionEnd::kReset:
      socket.set_option(asio::socket_base::linger(true, 0), error);
      // The destructor would not reset the connection.
      socket.close(error);
      return;
    case ConnectionEnd::kLinger: {
      socket.shutdown(tcp::socket::shutdown_send, error);
      std::array<char, 4'096> ignored{};
      while (!error)
        socket.read_some(asio::buffer(ignored), error);
      return;
    }
  }
}

std::string ExchangeRawBytes(const std::string& address,
                             const std::string& bytes,
                             int response_count) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(Loopback(std::stoi(address.substr(address.find(':') + 1))));
  asio::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  std::string received;
  std::array<char, 4096> chunk{};
  while (CountOccurrences(received, "\r\n\r\n") < response_count) {
    const std::size_t count = socket.read_some(asio::buffer(chunk), error);
    received.append(chunk.data(), count);
    if (error)
      break;
  }
  return received;
}

}  // namespace jacinth::test
