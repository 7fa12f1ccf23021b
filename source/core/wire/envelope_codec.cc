#include "core/wire/envelope_codec.h"

#include "core/wire/compression.h"
#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

/// Size from which messages are packed; smaller ones would hardly get shorter.
constexpr std::size_t kMinPackedBytes = 512;

struct EnvelopeWriter {
  generated::Envelope& out;

  void operator()(const protocol::Challenge& message) const {
    generated::Challenge challenge;
    challenge.nonce = message.nonce;
    if (message.takes_packed)
      challenge.__set_takes_packed(true);
    out.__set_challenge(challenge);
  }
  void operator()(const protocol::Hello& message) const {
    generated::Hello hello;
    hello.instance = message.instance;
    hello.mac = message.mac;
    if (message.takes_packed)
      hello.__set_takes_packed(true);
    out.__set_hello(hello);
  }
  void operator()(const protocol::Ping& message) const {
    generated::Ping ping;
    ping.reply = message.reply;
    out.__set_ping(ping);
  }
  void operator()(const protocol::PeerMessage& message) const {
    out.__set_peer(ToWire(message));
  }
  void operator()(const protocol::Heartbeat& message) const {
    out.__set_heartbeat(ToWire(message));
  }
  void operator()(const protocol::HeartbeatReply& message) const {
    out.__set_heartbeat_reply(ToWire(message));
  }
  void operator()(const protocol::ClaimRequest& message) const {
    out.__set_claim(ToWire(message));
  }
  void operator()(const protocol::ClaimReply& message) const {
    out.__set_claim_reply(ToWire(message));
  }
  void operator()(const protocol::FinishRequest& message) const {
    out.__set_finish(ToWire(message));
  }
  void operator()(const protocol::FinishReply& message) const {
    generated::FinishReply reply;
    reply.attempt = message.attempt;
    out.__set_finish_reply(reply);
  }
};

// Returns true if most of a large message is a piece of an update that is
// packed itself.
bool IsPacked(const protocol::Envelope& envelope, std::size_t bytes) {
  const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
  return reply != nullptr && reply->settings_piece.bytes.size() > bytes / 2;
}

template <typename Message>
Result<protocol::Envelope> ToEnvelope(Result<Message> message) {
  if (!message)
    return tl::unexpected(message.error());
  return protocol::Envelope(std::move(*message));
}

}  // namespace

std::string EncodeEnvelope(const protocol::Envelope& envelope) {
  generated::Envelope out;
  out.version = kWireVersion;
  std::visit(EnvelopeWriter{out}, envelope);
  return Serialize(out);
}

std::string EncodePackedEnvelope(const protocol::Envelope& envelope) {
  std::string bytes = EncodeEnvelope(envelope);
  if (bytes.size() < kMinPackedBytes || IsPacked(envelope, bytes.size()))
    return bytes;
  generated::PackedEnvelope packed;
  packed.unpacked_bytes = static_cast<std::int64_t>(bytes.size());
  packed.compressed = Compress(bytes);
  if (packed.compressed.size() >= bytes.size())
    return bytes;
  generated::Envelope out;
  out.version = kWireVersion;
  out.__set_packed(packed);
  return Serialize(out);
}

Result<protocol::Envelope> DecodeEnvelope(std::string_view bytes) {
  auto in = Deserialize<generated::Envelope>(bytes);
  if (in && in->version == kWireVersion && in->__isset.packed) {
    const auto unpacked =
        Decompress(in->packed.compressed, in->packed.unpacked_bytes);
    if (!unpacked)
      return tl::unexpected(unpacked.error());
    in = Deserialize<generated::Envelope>(*unpacked);
  }
  if (!in)
    return tl::unexpected(in.error());
  if (in->version != kWireVersion)
    return Fail(ErrorKind::kCorruptData,
                "the version of the message is not supported");
  const auto& is_set = in->__isset;
  if (is_set.peer)
    return ToEnvelope(FromWire(in->peer));
  if (is_set.claim_reply)
    return ToEnvelope(FromWire(in->claim_reply));
  if (is_set.finish)
    return ToEnvelope(FromWire(in->finish));
  if (is_set.challenge)
    return protocol::Envelope(
        protocol::Challenge{in->challenge.nonce, in->challenge.takes_packed});
  if (is_set.hello)
    return protocol::Envelope(protocol::Hello{in->hello.instance, in->hello.mac,
                                              in->hello.takes_packed});
  if (is_set.ping)
    return protocol::Envelope(protocol::Ping{in->ping.reply});
  if (is_set.heartbeat)
    return ToEnvelope(FromWire(in->heartbeat));
  if (is_set.heartbeat_reply)
    return protocol::Envelope(FromWire(in->heartbeat_reply));
  if (is_set.claim)
    return protocol::Envelope(FromWire(in->claim));
  if (is_set.finish_reply)
    return protocol::Envelope(protocol::FinishReply{in->finish_reply.attempt});
  return Fail(ErrorKind::kCorruptData,
              "the envelope contains no message of a known type");
}

}  // namespace jacinth::wire
