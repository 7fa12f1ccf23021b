#include "core/net/link_hub.h"

#include <string>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/wire/envelope_codec.h"

namespace jacinth::net {
namespace {

using asio::ip::tcp;

constexpr unsigned kBitsPerByte = 8;
constexpr Duration kPartInterval = 50ms;
constexpr std::size_t kPartBytes = 4096;

std::string MakeFrame(const protocol::Envelope& envelope) {
  const std::string body = wire::EncodeEnvelope(envelope);
  std::string frame;
  for (std::size_t i = 4; i-- > 0;)
    frame.push_back(static_cast<char>(body.size() >> (i * kBitsPerByte)));
  return frame + body;
}

/// Accepts links, and sends one message in small parts on each.
class SlowSender {
 public:
  SlowSender(asio::io_context& context, std::string bytes)
      : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        timer_(context),
        socket_(context),
        bytes_(std::move(bytes)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int accepted() const { return accepted_; }

 private:
  void Accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
      if (error)
        return;
      ++accepted_;
      socket_ = std::move(socket);
      sent_ = 0;
      SendPart();
      Accept();
    });
  }

  void SendPart() {
    asio::error_code ignored;
    const std::string part = bytes_.substr(sent_, kPartBytes);
    asio::write(socket_, asio::buffer(part), ignored);
    sent_ += part.size();
    if (sent_ == bytes_.size())
      return;
    timer_.expires_after(kPartInterval);
    timer_.async_wait([this](asio::error_code error) {
      if (!error)
        SendPart();
    });
  }

  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  tcp::socket socket_;
  std::string bytes_;
  std::size_t sent_ = 0;
  int accepted_ = 0;
};

}  // namespace

// Guards against a large message that never arrives, as the link is taken to be
// silent and is dialled again while the message is on its way.
TEST_CASE("A message may take longer than a link may be silent") {
  asio::io_context context;
  protocol::HeartbeatReply reply;
  // Takes three seconds.
  reply.update.revision = 1;
  reply.update.text = std::string(60 * kPartBytes, 'x');
  SlowSender sender(context,
                    MakeFrame(protocol::Challenge{"nonce"}) + MakeFrame(reply));
  LinkHubOptions options;
  options.self = "e1";
  options.dial = {{"c1", sender.address()}};
  bool received = false;
  LinkHub hub(context, options,
              [&](const std::string&, const protocol::Envelope& envelope) {
                received =
                    std::get<protocol::HeartbeatReply>(envelope) == reply;
                context.stop();
              });
  REQUIRE(hub.Start());
  context.run_for(6s);
  CHECK(received);
  CHECK(sender.accepted() == 1);
  hub.Stop();
}

}  // namespace jacinth::net
