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

/// A message to send now.
struct OutgoingMessage {
  std::string to_instance;
  protocol::Envelope envelope;
};

/// An accepted change of settings.
struct ChangeAccepted {
  std::uint64_t revision = 0;
};

/// A refused call, with what helps the operator to go on.
struct CallRefused {
  Error error;
  /// Current revision, for conflicts; 0 otherwise.
  std::uint64_t revision = 0;
  /// Instance of the leader, for kNotLeader; may be empty.
  std::string leader;
};

/// The answer to an administration call.
struct AdminReply {
  AdminTicket ticket = 0;
  std::variant<ChangeAccepted, ControlView, CallRefused> body;
};

/// A claim that was committed, for its trace.
struct ClaimTrace {
  std::string traceparent;
  Duration took{0};
};

/// What a control node wants done after an event.
struct ControlActions {
  /// Free to go: whatever had to be synced before them is.
  std::vector<OutgoingMessage> messages;
  std::vector<consensus::WriteRequest> writes;
  std::vector<AdminReply> replies;
  std::vector<ClaimTrace> claim_traces;
  /// Decisions and changed beliefs.
  std::vector<log::Record> log_records;
  /// Latest time of the next Tick.
  Time wake{};
  /// The node has handed over and may be ended.
  bool stopped = false;
};

}  // namespace jacinth::control
