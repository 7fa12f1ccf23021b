#include "core/forwarding/attempt.h"

namespace jacinth::forwarding {

Outcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kAnsweredFailure:
    case AttemptEnd::kAnswerTooLarge:
      return Outcome::kRan;
    case AttemptEnd::kRefused:
    case AttemptEnd::kMisdirected:
    case AttemptEnd::kNotConnected:
      return Outcome::kNotRun;
    case AttemptEnd::kAnswerIncomplete:
    case AttemptEnd::kConnectionLost:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kCancelled:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

bool IsEndpointFailure(AttemptEnd end) {
  return end == AttemptEnd::kNotConnected ||
         end == AttemptEnd::kAnswerIncomplete ||
         end == AttemptEnd::kConnectionLost || end == AttemptEnd::kTimedOut;
}

}  // namespace jacinth::forwarding
