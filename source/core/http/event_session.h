#pragma once

#include <array>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "core/http/event_server.h"
#include "core/http/message_parser.h"

namespace jacinth::http {

/// A connection of a caller to an EventServer.
class EventSession : public std::enable_shared_from_this<EventSession> {
 public:
  EventSession(asio::ip::tcp::socket socket, EventServer& server);

  void Start();
  void Close();

  /// Closes an idle connection after `linger`, any other after its response.
  void Drain(Duration linger);

  /// Sends the response to request `number`.
  void Respond(std::uint64_t number, const Response& response);
  void SetOnGone(std::uint64_t number, std::function<void()> on_gone);
  /// Closes the connection if request `number` has no response yet.
  void Abandon(std::uint64_t number);

 private:
  enum class Phase { kReading, kHandling, kWriting, kLingering, kClosed };

  void Read();
  void OnRead(std::size_t size);
  void ParseInput();
  void BeginRequest();
  void Dispatch();
  void Refuse(int status, const std::string& detail);
  void Write(const Response& response, bool close);
  void OnWritten(bool close);
  void Linger();
  void SetTimer(Duration after);
  void OnTimer();
  void NotifyGone();

  static constexpr std::size_t kReadBytes = 4'096;
  /// Bound on the input buffered for later requests while one is handled.
  static constexpr std::size_t kMaxReadAhead = 64UL << 10U;

  asio::ip::tcp::socket socket_;
  EventServer& server_;
  asio::steady_timer timer_;
  Phase phase_ = Phase::kReading;
  std::unique_ptr<MessageParser> parser_;
  std::array<char, kReadBytes> chunk_{};
  std::string input_;
  std::string output_;
  bool reading_ = false;
  bool keep_alive_ = false;
  bool is_head_ = false;
  bool continue_sent_ = false;
  std::size_t held_bytes_ = 0;
  std::uint64_t number_ = 0;
  std::function<void()> on_gone_;
};

}  // namespace jacinth::http
