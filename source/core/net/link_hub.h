#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/error.h"
#include "core/net/link.h"
#include "core/protocol/envelope.h"

namespace jacinth::net {

/// Parameters of a link hub.
struct LinkHubOptions {
  std::string self;
  /// Shared by all instances; proves membership.
  std::string secret;
  /// `ip:port` to accept links on; empty for none.
  std::string listen_address;
  /// Instances to dial, with their `ip:port`.
  std::map<std::string, std::string> dial;
};

/// Keeps links to other instances: dials again after a loss, and closes links
/// over which nothing has come for a while, as a link may go silent for good
/// while new ones work. Lives on the thread of its io_context.
class LinkHub {
 public:
  using MessageHandler =
      std::function<void(const std::string& from, protocol::Envelope)>;

  LinkHub(asio::io_context& context,
          LinkHubOptions options,
          MessageHandler on_message);

  /// Starts to listen and to dial.
  Result<void> Start();
  void Stop();

  /// Sends to an instance, or drops the message if there is no link to it. An
  /// instance that is named by its address is dialled then.
  void Send(const std::string& to, const protocol::Envelope& envelope);

 private:
  struct Dialled {
    std::string address;
    /// Not among the options: forgotten once nothing is sent to it any more.
    bool on_demand = false;
    Time last_used{};
    bool was_lost = false;
    std::shared_ptr<Link> link;
    /// The other end has sent its challenge and got the answer.
    bool ready = false;
    bool connecting = false;
    Time connect_started{};
    std::shared_ptr<asio::ip::tcp::socket> socket;
  };

  void Accept();
  void OnAccepted(asio::ip::tcp::socket socket);
  void OnAcceptedMessage(const std::shared_ptr<Link>& link,
                         protocol::Envelope envelope);
  void Dial(const std::string& instance);
  void OnDialled(const std::string& instance, asio::ip::tcp::socket socket);
  void OnDialledMessage(const std::string& instance,
                        const std::shared_ptr<Link>& link,
                        protocol::Envelope envelope);
  void DialOnDemand(const std::string& instance);
  void TickDialled(const std::string& instance, Dialled& row, Time now);
  void CloseUnused(Time now);
  void Tick();

  asio::io_context& context_;
  LinkHubOptions options_;
  MessageHandler on_message_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::map<std::string, Dialled> dialled_;
  /// By instance, once it has proved who it is.
  std::map<std::string, std::shared_ptr<Link>> accepted_;
  std::map<Link*, std::shared_ptr<Link>> unproved_;
  bool stopped_ = false;
};

}  // namespace jacinth::net
