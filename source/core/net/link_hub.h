#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/error.h"
#include "core/net/link.h"
#include "core/protocol/envelope.h"

namespace jacinth::net {

/// Addresses and credentials of a LinkHub.
struct LinkHubOptions {
  /// Id of this instance.
  std::string self;
  /// Key shared by all instances, by which they authenticate their links.
  std::string secret;
  /// `ip:port` to accept links on; empty to accept none.
  std::string listen_address;
  /// Instances to keep links to, with their `ip:port`.
  std::map<std::string, std::string> dial;
};

/// Maintains links to other instances. Reconnects lost links, and closes links
/// that have received nothing for a while, because a broken link can stay
/// silent while new connections succeed. Must be used on the thread of its
/// io_context.
class LinkHub {
 public:
  using MessageHandler =
      std::function<void(const std::string& from, protocol::Envelope)>;

  LinkHub(asio::io_context& context,
          LinkHubOptions options,
          MessageHandler on_message);

  /// Starts listening and connects to the configured instances.
  Result<void> Start();
  void Stop();

  /// Sends a message to an instance; a message to this instance is passed to
  /// its own handler. Drops the message if no link to the instance is
  /// established. If the instance is identified by its address (`ip:port`),
  /// also starts to connect to it.
  void Send(const std::string& to, const protocol::Envelope& envelope);

  /// As Send(), to several instances. The message is encoded only once.
  void SendToAll(const std::vector<std::string>& instances,
                 const protocol::Envelope& envelope);

 private:
  struct DialedPeer {
    std::string address;
    /// True for a peer that is not listed in the options. Such a peer is
    /// removed after a time without sent messages.
    bool on_demand = false;
    Time last_used{};
    bool was_lost = false;
    std::shared_ptr<Link> link;
    /// True once the challenge of the remote instance was answered.
    bool handshake_done = false;
    bool connecting = false;
    Time connect_started{};
    std::shared_ptr<asio::ip::tcp::socket> socket;
  };

  void Accept();
  void OnAccepted(asio::ip::tcp::socket socket);
  void OnAcceptedMessage(const std::shared_ptr<Link>& link,
                         protocol::Envelope envelope);
  /// Returns the established link to an instance. If there is none, starts to
  /// connect to an instance that is identified by its address.
  std::shared_ptr<Link> FindLink(const std::string& to);
  void Dial(const std::string& instance);
  void OnDialed(const std::string& instance, asio::ip::tcp::socket socket);
  void OnDialedMessage(const std::string& instance,
                       const std::shared_ptr<Link>& link,
                       protocol::Envelope envelope);
  void DialOnDemand(const std::string& instance);
  void CheckDialedPeer(const std::string& instance, DialedPeer& peer, Time now);
  void CloseUnusedPeers(Time now);
  void Tick();

  asio::io_context& context_;
  LinkHubOptions options_;
  MessageHandler on_message_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::map<std::string, DialedPeer> dialed_peers_;
  /// Authenticated links, by remote instance.
  std::map<std::string, std::shared_ptr<Link>> accepted_links_;
  std::map<Link*, std::shared_ptr<Link>> unauthenticated_links_;
  bool stopped_ = false;
};

}  // namespace jacinth::net
