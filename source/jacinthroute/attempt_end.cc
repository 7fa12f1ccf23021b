#include "jacinthroute/attempt_end.h"

namespace jacinth {

using forwarding::AttemptEnd;
using http::ExchangeEnd;

AttemptEnd ToAttemptEnd(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kAnswered:
      return AttemptEnd::kAnswered;
    case ExchangeEnd::kNotConnected:
      return AttemptEnd::kNotConnected;
    case ExchangeEnd::kLost:
      return AttemptEnd::kConnectionLost;
    case ExchangeEnd::kTimedOut:
      return AttemptEnd::kTimedOut;
    case ExchangeEnd::kIncomplete:
      return AttemptEnd::kAnswerIncomplete;
    case ExchangeEnd::kTooLarge:
      return AttemptEnd::kAnswerTooLarge;
    case ExchangeEnd::kWithdrawn:
      return AttemptEnd::kWithdrawn;
  }
  return AttemptEnd::kConnectionLost;
}

forwarding::LinkProbeEnd ToLinkProbeEnd(const http::ExchangeResult& result) {
  using forwarding::LinkProbeEnd;
  switch (result.end) {
    case ExchangeEnd::kNotConnected:
      return result.refused ? LinkProbeEnd::kRefused
                            : LinkProbeEnd::kNoResponse;
    case ExchangeEnd::kLost:
      return LinkProbeEnd::kRefused;
    case ExchangeEnd::kTimedOut:
      return LinkProbeEnd::kSilent;
    default:
      return LinkProbeEnd::kConnected;
  }
}

}  // namespace jacinth
