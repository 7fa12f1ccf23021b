#include "core/http/event_session.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "core/http/message_writer.h"
#include "core/http/status.h"

namespace jacinth::http {
namespace {

/// Time for the caller to read the last response before the socket is closed.
constexpr Duration kLingerTime = 1s;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

class SessionTransaction : public Transaction {
 public:
  SessionTransaction(std::shared_ptr<EventSession> session,
                     std::uint64_t number,
                     Request request)
      : session_(std::move(session)),
        number_(number),
        request_(std::move(request)) {}
  ~SessionTransaction() override { session_->Abandon(number_); }
  SessionTransaction(const SessionTransaction&) = delete;
  SessionTransaction& operator=(const SessionTransaction&) = delete;

  const Request& request() const override { return request_; }
  void Respond(Response response) override {
    session_->Respond(number_, response);
  }
  void OnGone(std::function<void()> on_gone) override {
    session_->SetOnGone(number_, std::move(on_gone));
  }

 private:
  std::shared_ptr<EventSession> session_;
  std::uint64_t number_;
  Request request_;
};

}  // namespace

EventSession::EventSession(asio::ip::tcp::socket socket, EventServer& server)
    : socket_(std::move(socket)),
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
  server_.held_bytes_ -= std::exchange(held_bytes_, 0);
  const auto self = shared_from_this();
  server_.Remove(self);
  NotifyGone();
}

void EventSession::Drain(Duration linger) {
  const bool idle = phase_ == Phase::kReading && !parser_->started();
  if (idle)
    SetTimer(linger);
}

void EventSession::Respond(std::uint64_t number, const Response& response) {
  if (phase_ != Phase::kHandling || number != number_)
    return;
  on_gone_ = nullptr;
  Write(response, !keep_alive_ || server_.draining_);
}

void EventSession::SetOnGone(std::uint64_t number,
                             std::function<void()> on_gone) {
  if (number != number_)
    return;
  on_gone_ = std::move(on_gone);
  if (phase_ == Phase::kClosed)
    NotifyGone();
}

void EventSession::Abandon(std::uint64_t number) {
  if (phase_ == Phase::kHandling && number == number_)
    Close();
}

void EventSession::Read() {
  if (reading_ || phase_ == Phase::kClosed)
    return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](asio::error_code error, std::size_t size) {
        self->reading_ = false;
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
  input_.append(chunk_.data(), size);
  if (phase_ == Phase::kReading)
    ParseInput();
  const bool room = input_.size() < kMaxReadAhead;
  if (phase_ == Phase::kReading || room)
    Read();
}

void EventSession::ParseInput() {
  if (input_.empty())
    return;
  const bool fresh = !parser_->started();
  const std::size_t taken = parser_->Feed(input_);
  server_.held_bytes_ += taken;
  held_bytes_ += taken;
  input_.erase(0, taken);
  switch (parser_->state()) {
    case ParseState::kHead:
      if (fresh)
        SetTimer(server_.limits_.head_timeout);
      return;
    case ParseState::kBody:
      if (server_.held_bytes_ > server_.limits_.max_held_bytes) {
        Refuse(kStatusUnavailable,
               "the server has reached its limit of buffered request bytes");
        return;
      }
      if (parser_->expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        // The interim response fits into the empty send buffer, so that the
        // synchronous write does not block.
        asio::error_code ignored;
        socket_.write_some(asio::buffer(kContinue), ignored);
      }
      SetTimer(server_.limits_.body_timeout);
      return;
    case ParseState::kDone:
      Dispatch();
      return;
    case ParseState::kMalformed:
      Refuse(kStatusBadRequest, "malformed HTTP request");
      return;
    case ParseState::kHeadTooLarge:
      Refuse(kStatusHeadersTooLarge, "the request head exceeds the size limit");
      return;
    case ParseState::kBodyTooLarge:
      Refuse(kStatusContentTooLarge, "the request body exceeds the size limit");
      return;
  }
}

void EventSession::BeginRequest() {
  phase_ = Phase::kReading;
  server_.held_bytes_ -= std::exchange(held_bytes_, 0);
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
  is_head_ = request.method == "HEAD";
  if (!SplitTarget(request)) {
    Refuse(kStatusBadRequest, "malformed request target");
    return;
  }
  ++number_;
  server_.handler_(std::make_shared<SessionTransaction>(
      shared_from_this(), number_, std::move(request)));
}

void EventSession::Refuse(int status, const std::string& detail) {
  ++number_;
  if (server_.refuser_) {
    Write(server_.refuser_(status, detail), /*close=*/true);
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
  output_ = WriteResponse(response, is_head_, close);
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
  if (close) {
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
  SetTimer(kLingerTime);
  Read();
}

void EventSession::SetTimer(Duration after) {
  timer_.expires_after(after);
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    // The wait had already completed when the timer was set again.
    const bool outdated =
        self->timer_.expiry() > asio::steady_timer::clock_type::now();
    if (!error && !outdated && self->phase_ != Phase::kClosed)
      self->OnTimer();
  });
}

void EventSession::OnTimer() {
  const bool slow_request = phase_ == Phase::kReading && parser_->started();
  if (slow_request) {
    Refuse(kStatusRequestTimeout,
           "the request was not received within the time limit");
    return;
  }
  if (phase_ != Phase::kHandling)
    Close();
}

void EventSession::NotifyGone() {
  if (auto on_gone = std::exchange(on_gone_, nullptr))
    on_gone();
}

}  // namespace jacinth::http
