#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "core/common/time.h"
#include "core/protocol/envelope.h"

namespace jacinth::net {

/// A TCP connection that carries length-prefixed messages in both directions.
///
/// Must be used on the thread of its io_context. Calls no handler after
/// Close().
class Link : public std::enable_shared_from_this<Link> {
 public:
  using MessageHandler =
      std::function<void(const std::shared_ptr<Link>&, protocol::Envelope)>;
  using CloseHandler =
      std::function<void(const std::shared_ptr<Link>&, const std::string&)>;

  Link(asio::ip::tcp::socket socket,
       MessageHandler on_message,
       CloseHandler on_close);

  /// Starts reading.
  void Start(Time now);

  /// A message as it is written to a connection.
  using Frame = std::shared_ptr<const std::string>;

  /// Encodes a message, if `packed` in a form for remote instances that take
  /// packed messages.
  static Frame MakeFrame(const protocol::Envelope& envelope, bool packed);

  /// Queues a message. Closes the link if the message or the send queue exceeds
  /// its size limit.
  void Send(const protocol::Envelope& envelope) {
    Send(MakeFrame(envelope, takes_packed));
  }
  void Send(const Frame& frame);

  /// Closes the connection without calling the close handler.
  void Close();

  /// Time at which a part of a message last arrived.
  Time last_received() const { return last_received_; }

  /// The remote instance; empty until it is authenticated.
  std::string instance;
  /// On the accepting side, the nonce that the remote instance must sign.
  std::string nonce;
  /// True if the remote instance has said that it takes packed messages.
  bool takes_packed = false;

 private:
  static constexpr std::size_t kHeaderSize = 4;

  void ReadMore();
  /// Passes on the complete messages in the buffer. Returns false once the link
  /// is closed.
  bool HandleReceived();
  void WriteNext();
  /// Closes the connection and passes `reason` to the close handler.
  void CloseWithReason(const std::string& reason);

  asio::ip::tcp::socket socket_;
  MessageHandler on_message_;
  CloseHandler on_close_;
  bool closed_ = false;
  Time last_received_{};
  /// Bytes that were read, from `handled_` on not yet handled.
  std::string received_;
  std::size_t handled_ = 0;
  /// Bytes that the message lacks which has arrived in part.
  std::size_t missing_ = 0;
  std::deque<Frame> send_queue_;
  std::size_t send_queue_bytes_ = 0;
};

}  // namespace jacinth::net
