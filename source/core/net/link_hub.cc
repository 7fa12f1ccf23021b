#include "core/net/link_hub.h"

#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include <asio/post.hpp>

#include "core/common/process_clock.h"
#include "core/common/sha256.h"
#include "core/log/log.h"

namespace jacinth::net {
namespace {

using asio::ip::tcp;

constexpr Duration kTickInterval = 250ms;
/// Time without received messages after which a link is pinged. Busy links need
/// no pings.
constexpr Duration kPingAfterSilence = 400ms;
/// Time without sent messages after which a link opened on demand is closed.
constexpr Duration kOnDemandIdleTimeout = 10s;
/// Time without received messages after which the connecting side closes a
/// link. Pings are sent on each tick, so only a broken link stays silent this
/// long.
constexpr Duration kDialedSilenceTimeout = 1500ms;
constexpr Duration kAcceptedSilenceTimeout = 5s;
constexpr Duration kConnectTimeout = 1s;
constexpr std::size_t kMaxUnauthenticatedLinks = 64;
constexpr int kNonceWords = 4;

std::string MakeNonce() {
  std::random_device device;
  std::string nonce;
  for (int i = 0; i < kNonceWords; ++i)
    nonce += std::to_string(device()) + ".";
  return nonce;
}

Result<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  if (error || colon == std::string::npos)
    return Fail(ErrorKind::kInvalidSettings,
                "address is not of the form ip:port: " + address);
  return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

}  // namespace

LinkHub::LinkHub(asio::io_context& context,
                 LinkHubOptions options,
                 MessageHandler on_message)
    : context_(context),
      options_(std::move(options)),
      on_message_(std::move(on_message)),
      acceptor_(context),
      timer_(context) {}

Result<void> LinkHub::Start() {
  if (!options_.listen_address.empty()) {
    const auto endpoint = ParseEndpoint(options_.listen_address);
    if (!endpoint)
      return tl::unexpected(endpoint.error());
    asio::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.bind(*endpoint, error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return Fail(ErrorKind::kInternal, "failed to listen on " +
                                            options_.listen_address + ": " +
                                            error.message());
    }
    Accept();
  }
  for (const auto& [instance, address] : options_.dial) {
    dialed_peers_[instance].address = address;
    Dial(instance);
  }
  Tick();
  return {};
}

void LinkHub::Stop() {
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  for (auto& [instance, peer] : dialed_peers_) {
    if (peer.link)
      peer.link->Close();
    if (peer.socket)
      peer.socket->close(ignored);
  }
  for (auto& [instance, link] : accepted_links_)
    link->Close();
  for (auto& [key, link] : unauthenticated_links_)
    link->Close();
}

void LinkHub::Send(const std::string& to, const protocol::Envelope& envelope) {
  if (to == options_.self) {
    asio::post(context_, [this, envelope] {
      if (!stopped_)
        on_message_(options_.self, envelope);
    });
    return;
  }
  if (const auto link = FindLink(to))
    link->Send(envelope);
}

void LinkHub::SendToAll(const std::vector<std::string>& instances,
                        const protocol::Envelope& envelope) {
  std::map<bool, Link::Frame> frames;
  for (const std::string& to : instances) {
    if (to == options_.self) {
      Send(to, envelope);
      continue;
    }
    const auto link = FindLink(to);
    if (!link)
      continue;
    Link::Frame& frame = frames[link->takes_packed];
    if (!frame)
      frame = Link::MakeFrame(envelope, link->takes_packed);
    link->Send(frame);
  }
}

// The link is shared, because a failed Send() removes it from its map.
std::shared_ptr<Link> LinkHub::FindLink(const std::string& to) {
  const auto peer = dialed_peers_.find(to);
  if (peer != dialed_peers_.end()) {
    peer->second.last_used = MonotonicNow();
    if (peer->second.handshake_done)
      return peer->second.link;
  }
  const auto accepted = accepted_links_.find(to);
  if (accepted != accepted_links_.end())
    return accepted->second;
  if (peer == dialed_peers_.end())
    DialOnDemand(to);
  return nullptr;
}

void LinkHub::DialOnDemand(const std::string& instance) {
  if (!ParseEndpoint(instance))
    return;
  DialedPeer& peer = dialed_peers_[instance];
  peer.address = instance;
  peer.on_demand = true;
  peer.last_used = MonotonicNow();
  Dial(instance);
}

void LinkHub::Accept() {
  acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
    if (stopped_)
      return;
    if (!error)
      OnAccepted(std::move(socket));
    Accept();
  });
}

void LinkHub::OnAccepted(tcp::socket socket) {
  if (unauthenticated_links_.size() >= kMaxUnauthenticatedLinks)
    return;
  auto link = std::make_shared<Link>(
      std::move(socket),
      [this](const std::shared_ptr<Link>& from, protocol::Envelope envelope) {
        OnAcceptedMessage(from, std::move(envelope));
      },
      [this](const std::shared_ptr<Link>& closed_link,
             const std::string& reason) {
        unauthenticated_links_.erase(closed_link.get());
        const auto peer = accepted_links_.find(closed_link->instance);
        if (peer == accepted_links_.end() || peer->second != closed_link)
          return;
        log::Info(log::Category::kNet, "Link from " + closed_link->instance +
                                           " closed: " + reason + ".");
        accepted_links_.erase(peer);
      });
  link->nonce = MakeNonce();
  unauthenticated_links_[link.get()] = link;
  link->Start(MonotonicNow());
  link->Send(protocol::Challenge{link->nonce, /*takes_packed=*/true});
}

void LinkHub::OnAcceptedMessage(const std::shared_ptr<Link>& link,
                                protocol::Envelope envelope) {
  if (link->instance.empty()) {
    const auto* hello = std::get_if<protocol::Hello>(&envelope);
    const bool authenticated =
        hello != nullptr &&
        EqualInConstantTime(
            hello->mac,
            HmacSha256Hex(options_.secret, link->nonce + hello->instance));
    unauthenticated_links_.erase(link.get());
    if (!authenticated) {
      log::Warning(
          log::Category::kNet,
          "Refused a link: the remote instance failed to authenticate.");
      link->Close();
      return;
    }
    link->instance = hello->instance;
    link->takes_packed = hello->takes_packed;
    std::shared_ptr<Link>& accepted = accepted_links_[hello->instance];
    if (accepted)
      accepted->Close();
    accepted = link;
    return;
  }
  if (std::holds_alternative<protocol::Ping>(envelope)) {
    link->Send(protocol::Ping{true});
    return;
  }
  on_message_(link->instance, std::move(envelope));
}

void LinkHub::Dial(const std::string& instance) {
  DialedPeer& peer = dialed_peers_[instance];
  const auto endpoint = ParseEndpoint(peer.address);
  if (!endpoint)
    return;
  peer.connecting = true;
  peer.connect_started = MonotonicNow();
  peer.socket = std::make_shared<tcp::socket>(context_);
  peer.socket->async_connect(*endpoint, [this, instance, socket = peer.socket](
                                            asio::error_code error) {
    const auto peer = dialed_peers_.find(instance);
    if (stopped_ || peer == dialed_peers_.end() ||
        peer->second.socket != socket)
      return;
    DialedPeer& dialed_peer = peer->second;
    dialed_peer.connecting = false;
    dialed_peer.socket.reset();
    if (!error)
      OnDialed(instance, std::move(*socket));
  });
}

void LinkHub::OnDialed(const std::string& instance, tcp::socket socket) {
  auto link = std::make_shared<Link>(
      std::move(socket),
      [this, instance](const std::shared_ptr<Link>& from,
                       protocol::Envelope envelope) {
        OnDialedMessage(instance, from, std::move(envelope));
      },
      [this, instance](const std::shared_ptr<Link>& closed_link,
                       const std::string& reason) {
        const auto found = dialed_peers_.find(instance);
        if (found == dialed_peers_.end() || found->second.link != closed_link)
          return;
        DialedPeer& peer = found->second;
        if (!std::exchange(peer.was_lost, true)) {
          log::Info(log::Category::kNet,
                    "Link to " + instance + " closed: " + reason + ".");
        }
        peer.link.reset();
        peer.handshake_done = false;
      });
  dialed_peers_[instance].link = link;
  dialed_peers_[instance].handshake_done = false;
  link->Start(MonotonicNow());
}

void LinkHub::OnDialedMessage(const std::string& instance,
                              const std::shared_ptr<Link>& link,
                              protocol::Envelope envelope) {
  if (const auto* challenge = std::get_if<protocol::Challenge>(&envelope)) {
    link->takes_packed = challenge->takes_packed;
    link->Send(protocol::Hello{
        options_.self,
        HmacSha256Hex(options_.secret, challenge->nonce + options_.self),
        /*takes_packed=*/true});
    const auto found = dialed_peers_.find(instance);
    if (found == dialed_peers_.end() || found->second.link != link)
      return;
    found->second.handshake_done = true;
    if (std::exchange(found->second.was_lost, false))
      log::Info(log::Category::kNet,
                "Link to " + instance + " re-established.");
    return;
  }
  if (std::holds_alternative<protocol::Ping>(envelope))
    return;
  on_message_(instance, std::move(envelope));
}

void LinkHub::CheckDialedPeer(const std::string& instance,
                              DialedPeer& peer,
                              Time now) {
  if (peer.connecting) {
    if (now < peer.connect_started + kConnectTimeout)
      return;
    peer.connecting = false;
    peer.socket.reset();
  }
  if (peer.link && now > peer.link->last_received() + kDialedSilenceTimeout) {
    if (!std::exchange(peer.was_lost, true)) {
      log::Info(log::Category::kNet,
                "Link to " + instance +
                    " received no messages in time; reconnecting.");
    }
    peer.link->Close();
    peer.link.reset();
    peer.handshake_done = false;
  }
  if (!peer.link)
    Dial(instance);
  else if (peer.handshake_done &&
           now > peer.link->last_received() + kPingAfterSilence)
    peer.link->Send(protocol::Ping{false});
}

void LinkHub::CloseUnusedPeers(Time now) {
  for (auto item = dialed_peers_.begin(); item != dialed_peers_.end();) {
    DialedPeer& peer = item->second;
    if (!peer.on_demand || now < peer.last_used + kOnDemandIdleTimeout) {
      ++item;
      continue;
    }
    asio::error_code ignored;
    if (peer.link)
      peer.link->Close();
    if (peer.socket)
      peer.socket->close(ignored);
    item = dialed_peers_.erase(item);
  }
}

void LinkHub::Tick() {
  const Time now = MonotonicNow();
  CloseUnusedPeers(now);
  for (auto& [instance, peer] : dialed_peers_)
    CheckDialedPeer(instance, peer, now);
  const auto close_if_silent = [&](const auto& item) {
    if (now <= item.second->last_received() + kAcceptedSilenceTimeout)
      return false;
    item.second->Close();
    return true;
  };
  std::erase_if(accepted_links_, close_if_silent);
  std::erase_if(unauthenticated_links_, close_if_silent);
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](asio::error_code error) {
    if (!error && !stopped_)
      Tick();
  });
}

}  // namespace jacinth::net
