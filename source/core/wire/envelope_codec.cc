#include "core/wire/envelope_codec.h"

#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

struct EnvelopeWriter {
  generated::Envelope& out;

  void operator()(const protocol::Challenge& message) const {
    generated::Challenge challenge;
    challenge.nonce = message.nonce;
    out.__set_challenge(challenge);
  }
  void operator()(const protocol::Hello& message) const {
    generated::Hello hello;
    hello.instance = message.instance;
    hello.mac = message.mac;
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

template <typename Message>
Result<protocol::Envelope> Wrap(Result<Message> message) {
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

Result<protocol::Envelope> DecodeEnvelope(std::string_view bytes) {
  const auto in = Deserialize<generated::Envelope>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  if (in->version != kWireVersion)
    return Fail(ErrorKind::kCorruptData,
                "the version of the message is not supported");
  const auto& set = in->__isset;
  if (set.peer)
    return Wrap(FromWire(in->peer));
  if (set.claim_reply)
    return Wrap(FromWire(in->claim_reply));
  if (set.finish)
    return Wrap(FromWire(in->finish));
  if (set.challenge)
    return protocol::Envelope(protocol::Challenge{in->challenge.nonce});
  if (set.hello)
    return protocol::Envelope(
        protocol::Hello{in->hello.instance, in->hello.mac});
  if (set.ping)
    return protocol::Envelope(protocol::Ping{in->ping.reply});
  if (set.heartbeat)
    return Wrap(FromWire(in->heartbeat));
  if (set.heartbeat_reply)
    return protocol::Envelope(FromWire(in->heartbeat_reply));
  if (set.claim)
    return protocol::Envelope(FromWire(in->claim));
  if (set.finish_reply)
    return protocol::Envelope(protocol::FinishReply{in->finish_reply.attempt});
  return Fail(ErrorKind::kCorruptData,
              "the envelope contains no message of a known type");
}

}  // namespace jacinth::wire
