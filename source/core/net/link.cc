#include "core/net/link.h"

#include <chrono>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "core/common/process_clock.h"
#include "core/wire/envelope_codec.h"

namespace jacinth::net {
namespace {

constexpr std::uint32_t kMaxFrameBytes = 64U * 1024 * 1024;
constexpr std::size_t kMaxQueuedBytes = 2UL * kMaxFrameBytes;
constexpr unsigned kBitsPerByte = 8;

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
  ReadHeader();
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

void Link::ReadHeader() {
  asio::async_read(
      socket_, asio::buffer(header_),
      [self = shared_from_this()](asio::error_code error, std::size_t) {
        if (self->closed_)
          return;
        if (error) {
          self->CloseWithReason(error.message());
          return;
        }
        std::uint32_t size = 0;
        for (const unsigned char byte : self->header_)
          size = (size << kBitsPerByte) | byte;
        self->ReadBody(size);
      });
}

void Link::ReadBody(std::uint32_t size) {
  if (size > kMaxFrameBytes) {
    CloseWithReason("received frame exceeds the size limit");
    return;
  }
  body_.resize(size);
  // Each part of a message counts as received, as a large message can take
  // longer than a link may stay silent.
  const auto note_progress = [self = shared_from_this()](asio::error_code error,
                                                         std::size_t bytes) {
    self->last_received_ = MonotonicNow();
    return asio::transfer_all()(error, bytes);
  };
  asio::async_read(
      socket_, asio::buffer(body_), note_progress,
      [self = shared_from_this()](asio::error_code error, std::size_t) {
        if (self->closed_)
          return;
        if (error) {
          self->CloseWithReason(error.message());
          return;
        }
        auto envelope = wire::DecodeEnvelope(self->body_);
        if (!envelope) {
          self->CloseWithReason(envelope.error().detail);
          return;
        }
        self->on_message_(self, std::move(*envelope));
        if (!self->closed_)
          self->ReadHeader();
      });
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
