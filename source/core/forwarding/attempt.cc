#include "core/forwarding/attempt.h"

#include <array>

#include "core/common/name_table.h"

namespace jacinth::forwarding {
namespace {

constexpr std::array kNames = {
    NamedValue<AttemptEnd>{AttemptEnd::kAnswered, "answered"},
    NamedValue<AttemptEnd>{AttemptEnd::kAnsweredFailure, "answered_failure"},
    NamedValue<AttemptEnd>{AttemptEnd::kRefused, "refused"},
    NamedValue<AttemptEnd>{AttemptEnd::kAmbiguousRefusal, "ambiguous_refusal"},
    NamedValue<AttemptEnd>{AttemptEnd::kMisdirected, "misdirected"},
    NamedValue<AttemptEnd>{AttemptEnd::kNotConnected, "not_connected"},
    NamedValue<AttemptEnd>{AttemptEnd::kAnswerIncomplete, "answer_incomplete"},
    NamedValue<AttemptEnd>{AttemptEnd::kConnectionLost, "connection_lost"},
    NamedValue<AttemptEnd>{AttemptEnd::kTimedOut, "timed_out"},
    NamedValue<AttemptEnd>{AttemptEnd::kAnswerTooLarge, "answer_too_large"},
    NamedValue<AttemptEnd>{AttemptEnd::kCancelled, "cancelled"},
    NamedValue<AttemptEnd>{AttemptEnd::kWithdrawn, "withdrawn"},
};

}  // namespace

Outcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kAnsweredFailure:
    case AttemptEnd::kAnswerTooLarge:
      return Outcome::kRan;
    case AttemptEnd::kRefused:
    case AttemptEnd::kMisdirected:
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kWithdrawn:
      return Outcome::kNotRun;
    case AttemptEnd::kAmbiguousRefusal:
    case AttemptEnd::kAnswerIncomplete:
    case AttemptEnd::kConnectionLost:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kCancelled:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

std::string_view AttemptEndName(AttemptEnd end) {
  return EnumName(kNames, end);
}

bool IsEndpointFailure(AttemptEnd end) {
  return end == AttemptEnd::kNotConnected ||
         end == AttemptEnd::kAmbiguousRefusal ||
         end == AttemptEnd::kAnswerIncomplete ||
         end == AttemptEnd::kConnectionLost || end == AttemptEnd::kTimedOut;
}

}  // namespace jacinth::forwarding
