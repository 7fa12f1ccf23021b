#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "core/http/event_server.h"
#include "core/http/message_parser.h"

namespace jacinth::http {

/// A connection of a caller to an EventServer.
class EventSession : public std::enable_shared_from_this<EventSession> {
 public:
  /// `listen_address` must be valid as long as the server.
  EventSession(asio::ip::tcp::socket socket,
               std::string_view listen_address,
               EventServer& server);

  std::string_view listen_address() const { return listen_address_; }

  void Start();
  void Close();

  /// Closes the connection after `grace_period` if it is idle, otherwise after
  /// the response to its current request.
  void Drain(Duration grace_period);

  /// Closes the connection after the response to its current request. Refuses
  /// a request that isn't received whole; closes an idle connection at once.
  void Finish();

  /// Closes the connection after the response to its current or next request.
  void CloseAfterResponse() { close_after_response_ = true; }

  /// Sends the response to request `request_number`.
  void Respond(std::uint64_t request_number, const Response& response);
  void SetDisconnectHandler(std::uint64_t request_number,
                            std::function<void()> on_disconnect);
  /// Closes the connection if request `request_number` has no response yet.
  void Abandon(std::uint64_t request_number);

 private:
  enum class Phase { kReading, kHandling, kWriting, kLingering, kClosed };

  void Read();
  void OnRead(std::size_t size);
  void ParseInput();
  void BeginRequest();
  void Dispatch();
  void SendError(int status, const std::string& detail);
  void Write(const Response& response, bool close);
  void OnWritten(bool close);
  void Linger();
  void SetTimer(Duration after);
  void OnTimer();
  void NotifyDisconnect();
  void SetRequestBytes(std::size_t bytes);
  void SetMemory(std::size_t bytes);

  static constexpr std::size_t kReadBytes = 4'096;
  /// Bound on the input buffered for later requests while one is handled.
  static constexpr std::size_t kMaxReadAheadBytes = 64UL << 10U;

  asio::ip::tcp::socket socket_;
  std::string_view listen_address_;
  EventServer& server_;
  asio::steady_timer timer_;
  Phase phase_ = Phase::kReading;
  std::unique_ptr<MessageParser> parser_;
  std::array<char, kReadBytes> read_buffer_{};
  std::string input_;
  std::string output_;
  bool read_pending_ = false;
  bool keep_alive_ = false;
  bool close_after_response_ = false;
  bool is_head_request_ = false;
  bool continue_sent_ = false;
  /// Bytes of the request.
  std::size_t buffered_bytes_ = 0;
  /// Memory of the request or of its response, as counted in the budget.
  std::size_t memory_ = 0;
  std::uint64_t request_number_ = 0;
  std::function<void()> on_disconnect_;
};

}  // namespace jacinth::http
