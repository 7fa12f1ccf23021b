#pragma once

#include <string_view>

#include "core/common/outcome.h"

namespace jacinth::forwarding {

/// How one attempt to run a request at an endpoint ended.
enum class AttemptEnd {
  /// A whole answer came.
  kAnswered,
  /// A whole answer came that says the endpoint failed.
  kAnsweredFailure,
  /// The endpoint said that it did not run the request.
  kRefused,
  /// The endpoint refused without saying whether it ran the request.
  kAmbiguousRefusal,
  /// Another endpoint has the address now; it did not run the request.
  kMisdirected,
  /// No connection was made, so no byte was handed over.
  kNotConnected,
  /// The answer was cut short or can't be told whole.
  kAnswerIncomplete,
  /// The connection failed after bytes were handed over.
  kConnectionLost,
  /// No whole answer came in time.
  kTimedOut,
  /// The answer was larger than may be passed on.
  kAnswerTooLarge,
  /// The caller left, so the attempt was broken off.
  kCancelled,
};

/// What is known about the request after an attempt ended so.
Outcome OutcomeOf(AttemptEnd end);

/// Name of an end in logs and metrics.
std::string_view AttemptEndName(AttemptEnd end);

/// True if the end says that the endpoint is in trouble.
bool IsEndpointFailure(AttemptEnd end);

}  // namespace jacinth::forwarding
