#include "core/http/event_connection.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <poll.h>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>

#include "core/common/process_clock.h"
#include "core/http/address.h"
#include "core/http/message_writer.h"
#include "core/http/status.h"
#include "core/log/log.h"

namespace jacinth::http {
namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxResponseHeadBytes = 64UL << 10U;
/// Idle timeout assumed for a server that doesn't announce one.
constexpr Duration kDefaultServerIdleTimeout = 8s;
/// Subtracted from an announced idle timeout, so that a request does not arrive
/// while the server closes the connection.
constexpr Duration kServerIdleTimeoutMargin = 1s;
constexpr std::string_view kTimeoutParameter = "timeout=";

// Returns how long a connection may stay idle, from a header field such as
// "Keep-Alive: timeout=5, max=100" (RFC 9112, C.2.2), with the time in seconds.
Duration ServerIdleTimeout(const Headers& headers) {
  const std::string_view value = HeaderValue(headers, "Keep-Alive");
  const std::size_t position = value.find(kTimeoutParameter);
  if (position == std::string_view::npos)
    return kDefaultServerIdleTimeout;
  const std::string_view digits =
      value.substr(position + kTimeoutParameter.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const Duration idle_timeout =
      std::chrono::seconds(seconds) - kServerIdleTimeoutMargin;
  return std::max(idle_timeout, Duration{0});
}

}  // namespace

EventConnection::EventConnection(asio::io_context& context,
                                 std::string address,
                                 EventClient& client)
    : address_(std::move(address)),
      client_(client),
      socket_(context),
      timer_(context) {}

void EventConnection::StartExchange(CallId id, const ClientCall& call) {
  call_id_ = id;
  limits_ = call.limits;
  may_send_ = call.may_send;
  keeps_connection_ = call.keeps_connection;
  deadline_ = MonotonicNow() + call.limits.timeout;
  is_head_request_ = call.request.method == "HEAD";
  request_sent_ = false;
  send_ended_ = false;
  was_reset_ = false;
  stream_ended_ = false;
  has_excess_input_ = false;
  interim_bytes_ = 0;
  output_ = WriteRequest(call.request, address_);
  ResetParser();
  opened_connection_ = phase_ == Phase::kNew;
  if (opened_connection_) {
    Connect();
    return;
  }
  phase_ = Phase::kRunning;
  asio::error_code ignored;
  socket_.cancel(ignored);
  SetTimer(limits_.timeout);
  Send();
  Read();
}

void EventConnection::BecomeIdle(Time now) {
  phase_ = Phase::kIdle;
  idle_since_ = now;
  WatchIdle();
  SetTimer(reusable_until_ - now);
}

bool EventConnection::HasInput() {
  char byte = 0;
  const ssize_t size = ::recv(socket_.native_handle(), &byte, sizeof(byte),
                              MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Waits for input without reading it, so that HasInput() sees it.
void EventConnection::WatchIdle() {
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), id = call_id_](asio::error_code error) {
        const bool still_idle =
            self->phase_ == Phase::kIdle && self->call_id_ == id;
        if (error == asio::error::operation_aborted || !still_idle)
          return;
        self->Close();
        self->client_.RemoveIdle(self.get());
      });
}

void EventConnection::Close() {
  if (phase_ == Phase::kClosed)
    return;
  phase_ = Phase::kClosed;
  SetBufferedBytes(0);
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void EventConnection::Connect() {
  phase_ = Phase::kConnecting;
  const auto parsed = ParseAddress(address_);
  asio::error_code error;
  const auto ip =
      asio::ip::make_address(parsed ? parsed->host : std::string(), error);
  if (!parsed || error || !BindSource()) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Finish(ExchangeEnd::kNotConnected);
    });
    return;
  }
  SetTimer(std::min(limits_.connect_timeout, limits_.timeout));
  socket_.async_connect(
      tcp::endpoint(ip, static_cast<unsigned short>(parsed->port)),
      [self = shared_from_this()](asio::error_code connect_error) {
        if (self->phase_ != Phase::kConnecting)
          return;
        if (connect_error) {
          self->refused_ = connect_error == asio::error::connection_refused ||
                           connect_error == asio::error::connection_reset;
          self->Finish(ExchangeEnd::kNotConnected);
          return;
        }
        if (self->may_send_ && !self->may_send_()) {
          self->Finish(ExchangeEnd::kWithdrawn);
          return;
        }
        asio::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->phase_ = Phase::kRunning;
        self->SetTimer(self->deadline_ - MonotonicNow());
        self->Send();
        self->Read();
      });
}

// Binds the socket to the client's source address, if it has one.
bool EventConnection::BindSource() {
  if (client_.source_address().empty())
    return true;
  asio::error_code error;
  const auto ip = asio::ip::make_address(client_.source_address(), error);
  if (!error)
    socket_.open(ip.is_v6() ? tcp::v6() : tcp::v4(), error);
  if (!error)
    socket_.bind(tcp::endpoint(ip, 0), error);
  if (!error)
    return true;
  log::Warning(log::Category::kHttp, "Connections can't come from " +
                                         client_.source_address() + ": " +
                                         error.message() + ".");
  return false;
}

void EventConnection::Send() {
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this(), id = call_id_](
                        asio::error_code error, std::size_t) {
                      const bool current = self->phase_ == Phase::kRunning &&
                                           self->call_id_ == id;
                      if (current)
                        self->OnSent(error);
                    });
}

// An error doesn't end the exchange: the pending read first returns a response
// that the server sent before it closed the connection.
void EventConnection::OnSent(asio::error_code error) {
  send_ended_ = true;
  request_sent_ = !error;
  // If the server had ended its stream before, the error is broken_pipe.
  was_reset_ = error && error != asio::error::broken_pipe;
  if (stream_ended_)
    OnStreamEnd();
}

void EventConnection::Read() {
  if (read_pending_ || phase_ == Phase::kClosed)
    return;
  read_pending_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](asio::error_code error, std::size_t size) {
        self->read_pending_ = false;
        self->OnRead(error, size);
      });
}

void EventConnection::OnRead(asio::error_code error, std::size_t size) {
  if (phase_ != Phase::kRunning)
    return;
  if (error) {
    stream_ended_ = error == asio::error::eof;
    // A reset is reported once. If the write takes it, the read sees an end of
    // stream like that of a whole response, possibly before OnSent() is called.
    const bool may_be_reset = stream_ended_ && !send_ended_ && IsHungUp();
    if (!may_be_reset)
      OnStreamEnd();
    return;
  }
  std::size_t offset = 0;
  while (offset < size) {
    const std::size_t consumed =
        parser_->Feed({read_buffer_.data() + offset, size - offset});
    offset += consumed;
    const bool interim =
        parser_->state() == ParseState::kDone && parser_->status() < kStatusOk;
    if (!interim)
      break;
    interim_bytes_ += consumed;
    ResetParser();
  }
  if (interim_bytes_ > kMaxResponseHeadBytes) {
    Reject(ExchangeEnd::kIncomplete, "its interim responses are too large");
    return;
  }
  has_excess_input_ = offset < size;
  SetBufferedBytes(parser_->buffered_bytes());
  if (phase_ == Phase::kRunning)
    HandleParseState();
}

// Returns true if the connection is closed in both directions.
bool EventConnection::IsHungUp() {
  pollfd descriptor{socket_.native_handle(), 0, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & POLLHUP) != 0;
}

void EventConnection::OnStreamEnd() {
  if (stream_ended_ && !was_reset_)
    parser_->FeedEndOfStream();
  if (parser_->state() == ParseState::kDone)
    Finish(ExchangeEnd::kAnswered);
  else if (!parser_->started())
    Finish(ExchangeEnd::kLost);
  else
    Reject(ExchangeEnd::kIncomplete,
           stream_ended_ && !was_reset_
               ? "the connection ended before it was complete"
               : "the connection failed before it was complete");
}

void EventConnection::SetBufferedBytes(std::size_t bytes) {
  const std::size_t before = std::exchange(buffered_bytes_, bytes);
  client_.OnBufferedChange(before, bytes);
}

void EventConnection::AbortResponse() {
  log::Warning(log::Category::kHttp,
               "Closing the connection to " + address_ + " after " +
                   std::to_string(buffered_bytes_) +
                   " bytes of a response, as incomplete responses take too "
                   "much memory.");
  Finish(ExchangeEnd::kIncomplete);
}

void EventConnection::HandleParseState() {
  switch (parser_->state()) {
    case ParseState::kHead:
    case ParseState::kBody:
      Read();
      return;
    case ParseState::kDone:
      Finish(ExchangeEnd::kAnswered);
      return;
    case ParseState::kBodyTooLarge:
      // Without a stated length, the body may have no end.
      Reject(parser_->has_length() ? ExchangeEnd::kTooLarge
                                   : ExchangeEnd::kIncomplete,
             "its body is too large");
      return;
    case ParseState::kMalformed:
      Reject(ExchangeEnd::kIncomplete, parser_->problem());
      return;
    case ParseState::kHeadTooLarge:
      Reject(ExchangeEnd::kIncomplete, "its head is too large");
      return;
  }
}

void EventConnection::ResetParser() {
  parser_.emplace(MessageParser::Kind::kResponse,
                  ParseLimits{kMaxResponseHeadBytes, limits_.max_body_bytes});
  if (is_head_request_)
    parser_->ExpectNoBody();
}

// Ends the exchange without its response.
void EventConnection::Reject(ExchangeEnd end, std::string_view reason) {
  log::Warning(log::Category::kHttp, "Rejecting a response from " + address_ +
                                         ": " + std::string(reason) + ".");
  Finish(end);
}

void EventConnection::Finish(ExchangeEnd end) {
  timer_.cancel();
  SetBufferedBytes(0);
  ExchangeResult result;
  result.end = end;
  result.opened_connection = opened_connection_;
  result.refused = refused_;
  if (end == ExchangeEnd::kAnswered) {
    // Bytes after the response or a partly sent request would corrupt the next
    // exchange.
    result.reusable = parser_->keep_alive() && parser_->is_framed() &&
                      request_sent_ && !has_excess_input_;
    result.response = parser_->TakeResponse();
    if (keeps_connection_)
      result.reusable = result.reusable && keeps_connection_(result.response);
    reusable_until_ =
        MonotonicNow() + ServerIdleTimeout(result.response.headers);
  }
  client_.OnExchangeEnd(call_id_, shared_from_this(), std::move(result));
}

void EventConnection::SetTimer(Duration after) {
  timer_.expires_after(after);
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    // A wait can complete just before the timer is set again. Its handler then
    // runs before the new expiry and must be ignored.
    const bool outdated =
        self->timer_.expiry() > asio::steady_timer::clock_type::now();
    if (!error && !outdated)
      self->OnTimer();
  });
}

void EventConnection::OnTimer() {
  switch (phase_) {
    case Phase::kConnecting:
      Finish(ExchangeEnd::kNotConnected);
      return;
    case Phase::kRunning:
      Finish(ExchangeEnd::kTimedOut);
      return;
    case Phase::kIdle:
      Close();
      client_.RemoveIdle(this);
      return;
    case Phase::kNew:
    case Phase::kClosed:
      return;
  }
}

}  // namespace jacinth::http
