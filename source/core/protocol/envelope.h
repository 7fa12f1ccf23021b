#pragma once

#include <string>
#include <variant>

#include "core/protocol/claim.h"
#include "core/protocol/heartbeat.h"
#include "core/protocol/peer_message.h"

namespace jacinth::protocol {

/// Sent by the side that accepted a link: the nonce that the connecting side
/// must include in its MAC.
struct Challenge {
  std::string nonce;
  /// True if the sender takes packed messages.
  bool takes_packed = false;

  bool operator==(const Challenge&) const = default;
};

/// First message from the side that connected: its instance, authenticated by a
/// MAC with the cluster secret.
struct Hello {
  std::string instance;
  std::string mac;
  /// True if the sender takes packed messages.
  bool takes_packed = false;

  bool operator==(const Hello&) const = default;
};

/// Keeps a link alive and verifies that both directions work.
struct Ping {
  bool reply = false;

  bool operator==(const Ping&) const = default;
};

/// Any message between instances.
using Envelope = std::variant<Challenge,
                              Hello,
                              Ping,
                              PeerMessage,
                              Heartbeat,
                              HeartbeatReply,
                              ClaimRequest,
                              ClaimReply,
                              FinishRequest,
                              FinishReply>;

}  // namespace jacinth::protocol
