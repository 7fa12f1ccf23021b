#include "unit_tests/support/stalling_proxy.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/write.hpp>

namespace jacinth::test {
namespace {

using asio::ip::tcp;

constexpr std::size_t kChunkSize = 16'384;

}  // namespace

StallingProxy::StallingProxy(int target_port)
    : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(asio::ip::address_v4::loopback(),
              static_cast<unsigned short>(target_port)),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

StallingProxy::~StallingProxy() {
  context_.stop();
  thread_.join();
}

void StallingProxy::Accept() {
  acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
    if (!error) {
      ++accepted_count_;
      auto client_socket = std::make_shared<tcp::socket>(std::move(socket));
      auto target_socket = std::make_shared<tcp::socket>(context_);
      asio::error_code connect_error;
      target_socket->connect(target_, connect_error);
      if (!connect_error) {
        Forward(client_socket, target_socket, epoch_);
        Forward(target_socket, client_socket, epoch_);
      }
    }
    Accept();
  });
}

void StallingProxy::Forward(const Socket& from, const Socket& to, int epoch) {
  auto chunk = std::make_shared<std::array<char, kChunkSize>>();
  from->async_read_some(
      asio::buffer(*chunk),
      [this, from, to, epoch, chunk](asio::error_code error, std::size_t size) {
        // A stalled connection forwards neither data nor the close.
        if (epoch != epoch_) {
          if (!error)
            Forward(from, to, epoch);
          return;
        }
        asio::error_code ignored;
        if (error) {
          to->shutdown(tcp::socket::shutdown_both, ignored);
          return;
        }
        asio::write(*to, asio::buffer(chunk->data(), size), ignored);
        Forward(from, to, epoch);
      });
}

}  // namespace jacinth::test
