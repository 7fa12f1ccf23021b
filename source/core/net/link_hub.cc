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
constexpr Duration kPingAfter = 400ms;
/// Time without sent messages after which a link opened on demand is closed.
constexpr Duration kUnusedTime = 10s;
/// Time without received messages after which the connecting side closes a
/// link. Pings are sent on each tick, so only a broken link stays silent this
/// long.
constexpr Duration kDialledSilence = 1500ms;
constexpr Duration kAcceptedSilence = 5s;
constexpr Duration kConnectTimeout = 1s;
constexpr std::size_t kMaxUnprovedLinks = 64;
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
                "not of the form ip:port: " + address);
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
    dialled_[instance].address = address;
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
  for (auto& [instance, row] : dialled_) {
    if (row.link)
      row.link->Close();
    if (row.socket)
      row.socket->close(ignored);
  }
  for (auto& [instance, link] : accepted_)
    link->Close();
  for (auto& [key, link] : unproved_)
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
  const auto row = dialled_.find(to);
  if (row != dialled_.end())
    row->second.last_used = MonotonicNow();
  if (row != dialled_.end() && row->second.ready) {
    row->second.link->Send(envelope);
    return;
  }
  const auto link = accepted_.find(to);
  if (link != accepted_.end()) {
    // Copied, because Send() erases the map entry if it fails.
    const std::shared_ptr<Link> kept = link->second;
    kept->Send(envelope);
    return;
  }
  if (row == dialled_.end())
    DialOnDemand(to);
}

void LinkHub::DialOnDemand(const std::string& instance) {
  if (!ParseEndpoint(instance))
    return;
  Dialled& row = dialled_[instance];
  row.address = instance;
  row.on_demand = true;
  row.last_used = MonotonicNow();
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
  if (unproved_.size() >= kMaxUnprovedLinks)
    return;
  auto link = std::make_shared<Link>(
      std::move(socket),
      [this](const std::shared_ptr<Link>& from, protocol::Envelope envelope) {
        OnAcceptedMessage(from, std::move(envelope));
      },
      [this](const std::shared_ptr<Link>& closed, const std::string& reason) {
        unproved_.erase(closed.get());
        const auto row = accepted_.find(closed->instance);
        if (row == accepted_.end() || row->second != closed)
          return;
        log::Info(log::Category::kNet,
                  "Link from " + closed->instance + " closed: " + reason + ".");
        accepted_.erase(row);
      });
  link->nonce = MakeNonce();
  unproved_[link.get()] = link;
  link->Start(MonotonicNow());
  link->Send(protocol::Challenge{link->nonce});
}

void LinkHub::OnAcceptedMessage(const std::shared_ptr<Link>& link,
                                protocol::Envelope envelope) {
  if (link->instance.empty()) {
    const auto* hello = std::get_if<protocol::Hello>(&envelope);
    const bool proved =
        hello != nullptr &&
        EqualInConstantTime(
            hello->mac,
            HmacSha256Hex(options_.secret, link->nonce + hello->instance));
    unproved_.erase(link.get());
    if (!proved) {
      log::Warning(log::Category::kNet,
                   "Refused a link: authentication failed.");
      link->Close();
      return;
    }
    link->instance = hello->instance;
    std::shared_ptr<Link>& kept = accepted_[hello->instance];
    if (kept)
      kept->Close();
    kept = link;
    return;
  }
  if (std::holds_alternative<protocol::Ping>(envelope)) {
    link->Send(protocol::Ping{true});
    return;
  }
  on_message_(link->instance, std::move(envelope));
}

void LinkHub::Dial(const std::string& instance) {
  Dialled& row = dialled_[instance];
  const auto endpoint = ParseEndpoint(row.address);
  if (!endpoint)
    return;
  row.connecting = true;
  row.connect_started = MonotonicNow();
  row.socket = std::make_shared<tcp::socket>(context_);
  row.socket->async_connect(
      *endpoint, [this, instance, socket = row.socket](asio::error_code error) {
        const auto row = dialled_.find(instance);
        if (stopped_ || row == dialled_.end() || row->second.socket != socket)
          return;
        Dialled& dialled = row->second;
        dialled.connecting = false;
        dialled.socket.reset();
        if (!error)
          OnDialled(instance, std::move(*socket));
      });
}

void LinkHub::OnDialled(const std::string& instance, tcp::socket socket) {
  auto link = std::make_shared<Link>(
      std::move(socket),
      [this, instance](const std::shared_ptr<Link>& from,
                       protocol::Envelope envelope) {
        OnDialledMessage(instance, from, std::move(envelope));
      },
      [this, instance](const std::shared_ptr<Link>& closed,
                       const std::string& reason) {
        const auto found = dialled_.find(instance);
        if (found == dialled_.end() || found->second.link != closed)
          return;
        Dialled& row = found->second;
        if (!std::exchange(row.was_lost, true)) {
          log::Info(log::Category::kNet,
                    "Link to " + instance + " closed: " + reason + ".");
        }
        row.link.reset();
        row.ready = false;
      });
  dialled_[instance].link = link;
  dialled_[instance].ready = false;
  link->Start(MonotonicNow());
}

void LinkHub::OnDialledMessage(const std::string& instance,
                               const std::shared_ptr<Link>& link,
                               protocol::Envelope envelope) {
  if (const auto* challenge = std::get_if<protocol::Challenge>(&envelope)) {
    link->Send(protocol::Hello{
        options_.self,
        HmacSha256Hex(options_.secret, challenge->nonce + options_.self)});
    const auto found = dialled_.find(instance);
    if (found == dialled_.end() || found->second.link != link)
      return;
    found->second.ready = true;
    if (std::exchange(found->second.was_lost, false))
      log::Info(log::Category::kNet,
                "Link to " + instance + " re-established.");
    return;
  }
  if (std::holds_alternative<protocol::Ping>(envelope))
    return;
  on_message_(instance, std::move(envelope));
}

void LinkHub::TickDialled(const std::string& instance, Dialled& row, Time now) {
  if (row.connecting) {
    if (now < row.connect_started + kConnectTimeout)
      return;
    row.connecting = false;
    row.socket.reset();
  }
  if (row.link && now > row.link->last_received() + kDialledSilence) {
    if (!std::exchange(row.was_lost, true)) {
      log::Info(log::Category::kNet,
                "Link to " + instance +
                    " received no messages in time; reconnecting.");
    }
    row.link->Close();
    row.link.reset();
    row.ready = false;
  }
  if (!row.link)
    Dial(instance);
  else if (row.ready && now > row.link->last_received() + kPingAfter)
    row.link->Send(protocol::Ping{false});
}

void LinkHub::CloseUnused(Time now) {
  for (auto item = dialled_.begin(); item != dialled_.end();) {
    Dialled& row = item->second;
    if (!row.on_demand || now < row.last_used + kUnusedTime) {
      ++item;
      continue;
    }
    asio::error_code ignored;
    if (row.link)
      row.link->Close();
    if (row.socket)
      row.socket->close(ignored);
    item = dialled_.erase(item);
  }
}

void LinkHub::Tick() {
  const Time now = MonotonicNow();
  CloseUnused(now);
  for (auto& [instance, row] : dialled_)
    TickDialled(instance, row, now);
  const auto is_silent = [&](const auto& item) {
    if (now <= item.second->last_received() + kAcceptedSilence)
      return false;
    item.second->Close();
    return true;
  };
  std::erase_if(accepted_, is_silent);
  std::erase_if(unproved_, is_silent);
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](asio::error_code error) {
    if (!error && !stopped_)
      Tick();
  });
}

}  // namespace jacinth::net
