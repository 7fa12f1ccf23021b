#include "unit_tests/support/silent_relay.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/write.hpp>

namespace jacinth::test {
namespace {

using asio::ip::tcp;

constexpr std::size_t kChunk = 16'384;

}  // namespace

SilentRelay::SilentRelay(int target_port)
    : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(asio::ip::address_v4::loopback(),
              static_cast<unsigned short>(target_port)),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

SilentRelay::~SilentRelay() {
  context_.stop();
  thread_.join();
}

void SilentRelay::Accept() {
  acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
    if (!error) {
      ++accepted_;
      auto near = std::make_shared<tcp::socket>(std::move(socket));
      auto far = std::make_shared<tcp::socket>(context_);
      asio::error_code failed;
      far->connect(target_, failed);
      if (!failed) {
        Copy(near, far, epoch_);
        Copy(far, near, epoch_);
      }
    }
    Accept();
  });
}

void SilentRelay::Copy(const Socket& from, const Socket& to, int epoch) {
  auto chunk = std::make_shared<std::array<char, kChunk>>();
  from->async_read_some(
      asio::buffer(*chunk),
      [this, from, to, epoch, chunk](asio::error_code error, std::size_t size) {
        // A blackholed connection forwards neither data nor the close.
        if (epoch != epoch_) {
          if (!error)
            Copy(from, to, epoch);
          return;
        }
        asio::error_code ignored;
        if (error) {
          to->shutdown(tcp::socket::shutdown_both, ignored);
          return;
        }
        asio::write(*to, asio::buffer(chunk->data(), size), ignored);
        Copy(from, to, epoch);
      });
}

}  // namespace jacinth::test
