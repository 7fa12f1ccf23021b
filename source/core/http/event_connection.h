#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "core/http/event_client.h"
#include "core/http/message_parser.h"

namespace jacinth::http {

/// A connection of an EventClient to a server.
class EventConnection : public std::enable_shared_from_this<EventConnection> {
 public:
  EventConnection(asio::io_context& context,
                  std::string address,
                  EventClient& client);

  /// Sends the request of call `id`. Connects first if necessary.
  void StartExchange(CallId id, const ClientCall& call);

  /// Makes the connection idle and watches it. Any input, including the end of
  /// the stream, makes it unusable.
  void BecomeIdle(Time now);

  /// Returns true if an idle connection has bytes to read or has ended, so that
  /// it can't carry another exchange.
  bool HasInput();

  void Close();

  /// Ends the exchange, because the responses take too much memory.
  void AbortResponse();
  /// Bytes of the incomplete response.
  std::size_t buffered_bytes() const { return buffered_bytes_; }

  const std::string& address() const { return address_; }
  Time idle_since() const { return idle_since_; }
  /// Time until which the server is expected to keep the idle connection open.
  Time reusable_until() const { return reusable_until_; }

 private:
  enum class Phase { kNew, kConnecting, kRunning, kIdle, kClosed };

  void Connect();
  bool BindSource();
  void Send();
  void OnSent(asio::error_code error);
  void WatchIdle();
  void Read();
  void OnRead(asio::error_code error, std::size_t size);
  bool IsHungUp();
  void OnStreamEnd();
  void HandleParseState();
  void ResetParser();
  void SetBufferedBytes(std::size_t bytes);
  void Reject(ExchangeEnd end, std::string_view reason);
  void Finish(ExchangeEnd end);
  void SetTimer(Duration after);
  void OnTimer();

  static constexpr std::size_t kReadBytes = 4'096;

  std::string address_;
  EventClient& client_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Phase phase_ = Phase::kNew;
  CallId call_id_ = 0;
  ExchangeLimits limits_;
  std::function<bool()> may_send_;
  std::function<bool(const Response&)> keeps_connection_;
  Time deadline_{};
  Time idle_since_{};
  Time reusable_until_{};
  bool is_head_request_ = false;
  bool read_pending_ = false;
  bool request_sent_ = false;
  bool send_ended_ = false;
  /// True if sending failed before the server had ended its stream.
  bool was_reset_ = false;
  bool stream_ended_ = false;
  bool has_excess_input_ = false;
  bool opened_connection_ = false;
  bool refused_ = false;
  std::size_t buffered_bytes_ = 0;
  /// Bytes of the interim responses of this exchange.
  std::size_t interim_bytes_ = 0;
  std::string output_;
  std::optional<MessageParser> parser_;
  std::array<char, kReadBytes> read_buffer_{};
};

}  // namespace jacinth::http
