#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/consensus/replica_actions.h"
#include "core/control/control_event.h"
#include "core/control/control_view.h"
#include "core/log/record.h"
#include "core/protocol/envelope.h"

namespace jacinth::control {

/// A message that is ready to be sent.
struct OutgoingMessage {
  std::string to_instance;
  protocol::Envelope envelope;
};

/// A message to several instances, which is encoded once.
struct Broadcast {
  std::vector<std::string> to_instances;
  protocol::Envelope envelope;
};

/// Reply to a settings change that was accepted and committed.
struct ChangeAccepted {
  std::uint64_t revision = 0;
};

/// Reply to a refused call, with the state that a retry needs.
struct CallRefused {
  Error error;
  /// Current settings revision; 0 if unknown.
  std::uint64_t revision = 0;
  /// Instance of the leader; empty if unknown.
  std::string leader;
};

/// Reply to an administration call.
struct AdminReply {
  AdminTicket ticket = 0;
  std::variant<ChangeAccepted, ControlView, CallRefused> body;
};

/// Trace data of a committed claim.
struct ClaimTrace {
  std::string traceparent;
  /// Time from the receipt of the claim to its commit.
  Duration commit_latency{0};
};

/// The I/O that the host must carry out for a control node after an event.
struct ControlActions {
  /// Messages to send. All writes that they depend on are synced.
  std::vector<OutgoingMessage> messages;
  std::vector<Broadcast> broadcasts;
  std::vector<consensus::WriteRequest> writes;
  std::vector<AdminReply> replies;
  std::vector<ClaimTrace> claim_traces;
  /// Log records of decisions and state changes.
  std::vector<log::Record> log_records;
  /// True if the platform's endpoint list must be read now, not only at its
  /// next regular reading.
  bool list_endpoints = false;
  /// Latest time at which the next Tick must be delivered.
  Time next_tick{};
  /// True once a stopping node no longer leads, or its stop deadline has
  /// passed. The node may then be destroyed.
  bool stopped = false;
};

}  // namespace jacinth::control
