#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/protocol/configuration.h"
#include "core/protocol/location.h"
#include "core/protocol/log_entry.h"
#include "core/protocol/snapshot.h"

namespace jacinth::protocol {

/// Type of a message between control replicas.
enum class PeerMessageKind {
  /// Asks for the id of the receiver and whether a group exists; a leader also
  /// admits the sender to its group. Sent by a replica that has no log yet or
  /// no contact with a leader.
  kProbe,
  kProbeReply,
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  /// Makes the receiver start an election at once.
  kTimeoutNow,
};

/// A message between control replicas. Fields that its kind does not use have
/// their default values.
struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kProbe;
  std::string from;
  std::string to;
  std::uint64_t term = 0;
  /// Append: index of the entry before `entries`. Append reply: last matching
  /// index or, if refused, the last one that may match. Vote request: last
  /// index of the candidate's log.
  std::uint64_t index = 0;
  /// Term of the entry at `index`.
  std::uint64_t log_term = 0;
  /// The leader's commit index.
  std::uint64_t commit = 0;
  /// Round number of the leader's message. Replies repeat it, which extends the
  /// lease.
  std::uint64_t round = 0;
  /// Vote and append replies: true if accepted. Probe reply: true if the sender
  /// has a log, so that a group exists.
  bool granted = false;
  /// Vote request: true if the leader requested the election to transfer its
  /// leadership, so that its lease does not prevent the vote.
  bool transfer = false;
  std::vector<LogEntry> entries;
  /// Probe reply: the members of the group; empty if there is none.
  Configuration configuration;
  Snapshot snapshot;
  /// Append and snapshot: true while the leader doesn't know where the receiver
  /// stands.
  bool asks_location = false;
  /// Probe reply, and append reply if the leader asked: where the sender
  /// stands.
  Location location;

  bool operator==(const PeerMessage&) const = default;
};

}  // namespace jacinth::protocol
