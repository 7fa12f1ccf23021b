#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/common/execution.h"
#include "core/common/outcome.h"
#include "core/common/rank.h"
#include "core/common/time.h"
#include "core/entry/entry_event.h"
#include "core/log/record.h"
#include "core/protocol/claim.h"
#include "core/protocol/envelope.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::entry {

/// A message to send now; to every replica if `to_instance` is empty.
struct OutgoingMessage {
  std::string to_instance;
  protocol::Envelope envelope;
};

/// Send the request to an endpoint.
struct StartAttempt {
  RequestTicket ticket = 0;
  std::string endpoint;
  std::string address;
  /// Name that the endpoint checks the request against; may be empty.
  std::string incarnation;
  Execution execution = Execution::kRepeatable;
  Duration connect_timeout{0};
  /// Time for the whole attempt.
  Duration timeout{0};
  /// Use a new connection rather than a kept one.
  bool fresh_connection = false;
  /// Starts at 1.
  int number = 1;
};

/// Pass on the whole answer of the last attempt.
struct PassOnAnswer {};

/// Repeat the answer recorded for the idempotency key.
struct RepeatAnswer {
  protocol::RecordedAnswer answer;
};

/// Time after which a caller refused for lack of capacity may try again.
inline constexpr Duration kRetryAfter = 1s;

/// Answer with an error of the system's own.
struct RefuseRequest {
  Error error;
  Outcome outcome = Outcome::kNotRun;
  /// When the caller may try again; zero for no hint.
  Duration retry_after{0};
};

/// Break off the attempt under way, as the caller has gone.
struct CancelAttempt {
  RequestTicket ticket = 0;
};

/// The end of a request.
struct RequestAnswer {
  RequestTicket ticket = 0;
  std::variant<PassOnAnswer, RepeatAnswer, RefuseRequest> body;
  /// Rank of the request; nothing if it was refused before that was known.
  std::optional<Rank> rank;
};

/// Ask an endpoint for its health.
struct StartProbe {
  std::string service;
  std::string endpoint;
  std::string address;
  std::string path;
  std::string incarnation;
};

/// What an entry node wants done after an event.
struct EntryActions {
  std::vector<OutgoingMessage> messages;
  std::vector<StartAttempt> attempts;
  std::vector<RequestAnswer> answers;
  std::vector<CancelAttempt> cancels;
  std::vector<StartProbe> probes;
  /// New state for look-ups, if it changed.
  std::shared_ptr<const steering::SteeringSnapshot> snapshot;
  /// Read the platform's list of endpoints; the control role doesn't tell.
  bool list_endpoints = false;
  /// Decisions and changed beliefs.
  std::vector<log::Record> notes;
  /// Latest time of the next Tick.
  Time wake{};
  /// The node has finished its work and may be ended.
  bool stopped = false;
};

}  // namespace jacinth::entry
