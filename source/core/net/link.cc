#include "core/net/link.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "core/common/process_clock.h"
#include "core/wire/envelope_codec.h"

namespace jacinth::net {
namespace {

constexpr std::uint32_t kMaxFrameBytes = 64U * 1024 * 1024;
constexpr std::size_t kMaxQueuedBytes = 2UL * kMaxFrameBytes;
constexpr unsigned kBitsPerByte = 8;
/// Bytes read at once, and in the middle of a large message.
constexpr std::size_t kReadBytes = 4UL * 1024;
constexpr std::size_t kMaxReadBytes = 64UL * 1024;

}  // namespace

Link::Link(asio::ip::tcp::socket socket,
           MessageHandler on_message,
           CloseHandler on_close)
    : socket_(std::move(socket)),
      on_message_(std::move(on_message)),
      on_close_(std::move(on_close)) {}

void Link::Start(Time now) {
  last_received_ = now;
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  ReadMore();
}

Link::Frame Link::MakeFrame(const protocol::Envelope& envelope, bool packed) {
  const std::string body = packed ? wire::EncodePackedEnvelope(envelope)
                                  : wire::EncodeEnvelope(envelope);
  std::string frame;
  frame.reserve(kHeaderSize + body.size());
  for (std::size_t i = kHeaderSize; i-- > 0;)
    frame.push_back(static_cast<char>(body.size() >> (i * kBitsPerByte)));
  frame += body;
  return std::make_shared<const std::string>(std::move(frame));
}

void Link::Send(const Frame& frame) {
  if (closed_)
    return;
  if (frame->size() > kHeaderSize + kMaxFrameBytes ||
      send_queue_bytes_ + frame->size() > kMaxQueuedBytes) {
    CloseWithReason("message or send queue exceeds its size limit");
    return;
  }
  send_queue_bytes_ += frame->size();
  send_queue_.push_back(frame);
  if (send_queue_.size() == 1)
    WriteNext();
}

void Link::Close() {
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
}

// Reads what has arrived, which may be several messages: one system call each
// would cost a leader more than the messages do.
void Link::ReadMore() {
  const std::size_t held = received_.size();
  const std::size_t wanted = std::clamp(missing_, kReadBytes, kMaxReadBytes);
  received_.resize(held + wanted);
  socket_.async_read_some(asio::buffer(received_.data() + held, wanted),
                          [self = shared_from_this(), held](
                              asio::error_code error, std::size_t bytes) {
                            if (self->closed_)
                              return;
                            if (error) {
                              self->CloseWithReason(error.message());
                              return;
                            }
                            self->received_.resize(held + bytes);
                            // Each part of a message counts as received, as a
                            // large message can take longer than a link may
                            // stay silent.
                            self->last_received_ = MonotonicNow();
                            if (self->HandleReceived())
                              self->ReadMore();
                          });
}

bool Link::HandleReceived() {
  missing_ = 0;
  while (received_.size() - handled_ >= kHeaderSize) {
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < kHeaderSize; ++i) {
      size = (size << kBitsPerByte) |
             static_cast<unsigned char>(received_[handled_ + i]);
    }
    if (size > kMaxFrameBytes) {
      CloseWithReason("received frame exceeds the size limit");
      return false;
    }
    const std::size_t available = received_.size() - handled_;
    if (available < kHeaderSize + size) {
      missing_ = kHeaderSize + size - available;
      break;
    }
    auto envelope = wire::DecodeEnvelope(
        std::string_view(received_).substr(handled_ + kHeaderSize, size));
    handled_ += kHeaderSize + size;
    if (!envelope) {
      CloseWithReason(envelope.error().detail);
      return false;
    }
    on_message_(shared_from_this(), std::move(*envelope));
    if (closed_)
      return false;
  }
  received_.erase(0, std::exchange(handled_, 0));
  // Gives back the memory that a large message took.
  if (received_.empty() && received_.capacity() > kMaxReadBytes)
    received_.shrink_to_fit();
  return true;
}

void Link::WriteNext() {
  asio::async_write(
      socket_, asio::buffer(*send_queue_.front()),
      [self = shared_from_this()](asio::error_code error, std::size_t) {
        if (self->closed_)
          return;
        if (error) {
          self->CloseWithReason(error.message());
          return;
        }
        self->send_queue_bytes_ -= self->send_queue_.front()->size();
        self->send_queue_.pop_front();
        if (!self->send_queue_.empty())
          self->WriteNext();
      });
}

void Link::CloseWithReason(const std::string& reason) {
  if (closed_)
    return;
  Close();
  on_close_(shared_from_this(), reason);
}

}  // namespace jacinth::net
