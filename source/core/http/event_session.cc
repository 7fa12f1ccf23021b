#include "core/http/event_session.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "core/http/message_writer.h"
#include "core/http/status.h"

namespace jacinth::http {
namespace {

/// Time for the caller to read the last response before the socket is closed.
constexpr Duration kLingerTimeout = 1s;
/// Copies of a request's body while it is being forwarded: in the request, in
/// what all attempts send, in the call and in its output.
constexpr std::size_t kRequestCopies = 4;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

class SessionTransaction : public Transaction {
 public:
  SessionTransaction(std::shared_ptr<EventSession> session,
                     std::uint64_t request_number,
                     Request request)
      : session_(std::move(session)),
        request_number_(request_number),
        request_(std::move(request)) {}
  ~SessionTransaction() override { session_->Abandon(request_number_); }
  SessionTransaction(const SessionTransaction&) = delete;
  SessionTransaction& operator=(const SessionTransaction&) = delete;

  const Request& request() const override { return request_; }
  std::string_view listen_address() const override {
    return session_->listen_address();
  }
  void Respond(Response response) override {
    session_->Respond(request_number_, response);
  }
  void OnDisconnect(std::function<void()> on_disconnect) override {
    session_->SetDisconnectHandler(request_number_, std::move(on_disconnect));
  }

 private:
  std::shared_ptr<EventSession> session_;
  std::uint64_t request_number_;
  Request request_;
};

}  // namespace

EventSession::EventSession(asio::ip::tcp::socket socket,
                           std::string_view listen_address,
                           EventServer& server)
    : socket_(std::move(socket)),
      listen_address_(listen_address),
      server_(server),
      timer_(socket_.get_executor()) {}

void EventSession::Start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  BeginRequest();
  Read();
}

void EventSession::Close() {
  if (phase_ == Phase::kClosed)
    return;
  phase_ = Phase::kClosed;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  SetRequestBytes(0);
  SetMemory(0);
  const auto self = shared_from_this();
  server_.Remove(self);
  NotifyDisconnect();
}

void EventSession::Drain(Duration grace_period) {
  const bool idle = phase_ == Phase::kReading && !parser_->started();
  if (idle)
    SetTimer(grace_period);
}

void EventSession::Finish() {
  close_after_response_ = true;
  if (phase_ != Phase::kReading)
    return;
  if (parser_->started()) {
    SendError(kStatusServiceUnavailable,
              "the server stopped before the request was received");
    return;
  }
  // A request that has arrived but hasn't been read is still answered.
  asio::error_code error;
  if (socket_.available(error) == 0 || error)
    Close();
}

void EventSession::Respond(std::uint64_t request_number,
                           const Response& response) {
  if (phase_ != Phase::kHandling || request_number != request_number_)
    return;
  on_disconnect_ = nullptr;
  Write(response, !keep_alive_ || close_after_response_ || server_.draining_);
}

void EventSession::SetDisconnectHandler(std::uint64_t request_number,
                                        std::function<void()> on_disconnect) {
  if (request_number != request_number_)
    return;
  on_disconnect_ = std::move(on_disconnect);
  if (phase_ == Phase::kClosed)
    NotifyDisconnect();
}

void EventSession::Abandon(std::uint64_t request_number) {
  if (phase_ == Phase::kHandling && request_number == request_number_)
    Close();
}

void EventSession::Read() {
  if (read_pending_ || phase_ == Phase::kClosed)
    return;
  read_pending_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t size) {
        self->read_pending_ = false;
        if (self->phase_ == Phase::kClosed)
          return;
        if (error) {
          self->Close();
          return;
        }
        self->OnRead(size);
      });
}

void EventSession::OnRead(std::size_t size) {
  if (phase_ == Phase::kLingering) {
    Read();
    return;
  }
  input_.append(read_buffer_.data(), size);
  if (phase_ == Phase::kReading)
    ParseInput();
  const bool has_room = input_.size() < kMaxReadAheadBytes;
  if (phase_ == Phase::kReading || has_room)
    Read();
}

void EventSession::ParseInput() {
  if (input_.empty())
    return;
  const bool is_new_request = !parser_->started();
  const std::size_t consumed = parser_->Feed(input_);
  input_.erase(0, consumed);
  SetRequestBytes(parser_->buffered_bytes());
  SetMemory(kRequestCopies * buffered_bytes_);
  switch (parser_->state()) {
    case ParseState::kHead:
      if (is_new_request)
        SetTimer(server_.limits_.head_timeout);
      return;
    case ParseState::kBody:
      if (server_.buffered_bytes_ > server_.limits_.max_buffered_bytes ||
          server_.budget_->IsExceeded()) {
        SendError(kStatusServiceUnavailable,
                  "the server has reached its limit of buffered request bytes");
        return;
      }
      if (parser_->expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        // The interim response fits into the empty send buffer, so that the
        // synchronous write does not block.
        asio::error_code ignored;
        socket_.write_some(asio::buffer(kContinueResponse), ignored);
      }
      SetTimer(server_.limits_.body_timeout);
      return;
    case ParseState::kDone:
      Dispatch();
      return;
    case ParseState::kMalformed:
      SendError(kStatusBadRequest, "malformed HTTP request");
      return;
    case ParseState::kHeadTooLarge:
      SendError(kStatusHeaderFieldsTooLarge,
                "the request head exceeds the size limit");
      return;
    case ParseState::kBodyTooLarge:
      SendError(kStatusContentTooLarge,
                "the request body exceeds the size limit");
      return;
  }
}

void EventSession::BeginRequest() {
  phase_ = Phase::kReading;
  SetRequestBytes(0);
  SetMemory(0);
  parser_ = std::make_unique<MessageParser>(
      MessageParser::Kind::kRequest,
      ParseLimits{server_.limits_.max_head_bytes,
                  server_.limits_.max_body_bytes});
  continue_sent_ = false;
  SetTimer(server_.limits_.idle_timeout);
}

void EventSession::Dispatch() {
  timer_.cancel();
  phase_ = Phase::kHandling;
  keep_alive_ = parser_->keep_alive();
  Request request = parser_->TakeRequest();
  is_head_request_ = request.method == "HEAD";
  if (!SplitTarget(request)) {
    SendError(kStatusBadRequest, "malformed request target");
    return;
  }
  ++request_number_;
  server_.handler_(std::make_shared<SessionTransaction>(
      shared_from_this(), request_number_, std::move(request)));
}

void EventSession::SendError(int status, const std::string& detail) {
  ++request_number_;
  if (server_.error_responder_) {
    Write(server_.error_responder_(status, detail), /*close=*/true);
    return;
  }
  Response response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = detail + "\n";
  Write(response, /*close=*/true);
}

void EventSession::Write(const Response& response, bool close) {
  phase_ = Phase::kWriting;
  output_ = WriteResponse(response, is_head_request_, close);
  SetRequestBytes(0);
  SetMemory(output_.capacity());
  SetTimer(server_.limits_.body_timeout);
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this(), close](asio::error_code error, std::size_t) {
        if (self->phase_ == Phase::kClosed)
          return;
        if (error) {
          self->Close();
          return;
        }
        self->OnWritten(close);
      });
}

void EventSession::OnWritten(bool close) {
  output_.clear();
  output_.shrink_to_fit();
  SetMemory(0);
  if (close || server_.finishing_) {
    Linger();
    return;
  }
  BeginRequest();
  ParseInput();
  Read();
}

// Shuts down only the sending side at first. Closing the socket with unread
// input would reset the connection and lose the response.
void EventSession::Linger() {
  phase_ = Phase::kLingering;
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  SetTimer(kLingerTimeout);
  Read();
}

void EventSession::SetTimer(Duration after) {
  timer_.expires_after(after);
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    // A wait can complete just before the timer is set again. Its handler then
    // runs before the new expiry and must be ignored.
    const bool outdated =
        self->timer_.expiry() > asio::steady_timer::clock_type::now();
    if (!error && !outdated && self->phase_ != Phase::kClosed)
      self->OnTimer();
  });
}

void EventSession::OnTimer() {
  const bool slow_request = phase_ == Phase::kReading && parser_->started();
  if (slow_request) {
    SendError(kStatusRequestTimeout,
              "the request was not received within the time limit");
    return;
  }
  if (phase_ != Phase::kHandling)
    Close();
}

void EventSession::SetRequestBytes(std::size_t bytes) {
  server_.buffered_bytes_ += bytes;
  server_.buffered_bytes_ -= std::exchange(buffered_bytes_, bytes);
}

void EventSession::SetMemory(std::size_t bytes) {
  server_.budget_->Change(std::exchange(memory_, bytes), bytes);
}

void EventSession::NotifyDisconnect() {
  if (auto on_disconnect = std::exchange(on_disconnect_, nullptr))
    on_disconnect();
}

}  // namespace jacinth::http
