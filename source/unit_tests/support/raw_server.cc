#include "unit_tests/support/raw_server.h"

#include <array>

#include <asio/buffer.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace jacinth::test {
namespace {

using asio::ip::tcp;

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
    : acceptor_(context_, Loopback(0)),
      response_(std::move(response)),
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
    ++request_count_;
    asio::write(socket, asio::buffer(response_), error);
    socket.shutdown(tcp::socket::shutdown_both, error);
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
