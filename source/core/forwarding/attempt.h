#pragma once

#include <string_view>

#include "core/common/outcome.h"

namespace jacinth::forwarding {

/// How one attempt to run a request at an endpoint ended.
enum class AttemptEnd {
  /// A complete answer was received.
  kAnswered,
  /// A complete answer was received that reports a failure of the endpoint.
  kAnsweredFailure,
  /// The endpoint refused the request and stated that it did not run it.
  kRefused,
  /// The endpoint refused the request without stating whether it ran it.
  kAmbiguousRefusal,
  /// Another endpoint uses the address now and did not run the request.
  kMisdirected,
  /// No connection was established, so no byte was sent.
  kNotConnected,
  /// The answer was truncated or malformed, or its end can't be determined.
  kAnswerIncomplete,
  /// The connection failed after bytes were sent.
  kConnectionLost,
  /// No complete answer was received in time.
  kTimedOut,
  /// The answer exceeded the size limit for forwarding.
  kAnswerTooLarge,
  /// The caller disconnected, so the attempt was canceled.
  kCancelled,
  /// The endpoint may not get the request any more, as was found before any
  /// byte was sent.
  kWithdrawn,
};

/// Returns whether the request ran, as far as the end of the attempt shows it.
Outcome OutcomeOf(AttemptEnd end);

/// Returns the name of an end in logs and metrics.
std::string_view AttemptEndName(AttemptEnd end);

/// Returns true if the end indicates a failure of the endpoint.
bool IsEndpointFailure(AttemptEnd end);

}  // namespace jacinth::forwarding
