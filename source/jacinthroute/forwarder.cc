#include "jacinthroute/forwarder.h"

#include <utility>

#include "core/common/process_clock.h"
#include "core/forwarding/attempt.h"

namespace jacinth {
namespace {

using forwarding::AttemptEnd;
using http::ExchangeEnd;

/// Idle time after which a kept connection may have been forgotten by
/// something between the two ends.
constexpr Duration kMaxIdleRepeatable = 30s;
constexpr Duration kMaxIdleOnce = 1s;
/// Largest answer body that the ledger keeps.
constexpr std::size_t kMaxRecordedBody = 1'024;

AttemptEnd ToAttemptEnd(const http::ExchangeResult& result) {
  switch (result.end) {
    case ExchangeEnd::kAnswered:
      break;
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
  }
  const bool refused =
      http::HeaderValue(result.response.headers, "Jacinth-Outcome") ==
      OutcomeName(Outcome::kNotRun);
  return refused ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
}

protocol::RecordedAnswer Record(const http::Response& response) {
  protocol::RecordedAnswer answer;
  answer.status = response.status;
  answer.content_type = response.content_type;
  answer.body_dropped = response.body.size() > kMaxRecordedBody;
  if (!answer.body_dropped)
    answer.body = response.body;
  return answer;
}

}  // namespace

Forwarder::Forwarder(std::size_t max_kept_per_endpoint,
                     trace::SpanWriter& spans)
    : pool_(max_kept_per_endpoint), spans_(spans) {}

ForwardResult Forwarder::Run(const entry::StartAttempt& attempt,
                             const http::Request& request,
                             bool repeatable,
                             std::size_t max_body_bytes,
                             const trace::SpanContext& parent) {
  trace::Span span;
  span.context = trace::NewChild(parent);
  span.parent_span_id = parent.span_id;
  span.name = "entry.attempt";
  span.start_unix_ns = trace::UnixNanos();

  http::Request out = request;
  out.headers.emplace_back("traceparent",
                           trace::FormatTraceparent(span.context));
  out.headers.emplace_back("Jacinth-Deadline-Ms",
                           std::to_string(ToMillis(attempt.timeout)));
  Duration max_idle = repeatable ? kMaxIdleRepeatable : kMaxIdleOnce;
  if (attempt.fresh_connection)
    max_idle = Duration{0};
  auto connection = pool_.Take(attempt.address, max_idle, MonotonicNow());
  http::ExchangeLimits limits;
  limits.connect_timeout = attempt.connect_timeout;
  limits.timeout = attempt.timeout;
  limits.max_body_bytes = max_body_bytes;
  http::ExchangeResult exchange = connection->Exchange(out, limits);
  pool_.Give(attempt.address, std::move(connection), MonotonicNow());

  ForwardResult result;
  result.ended.ticket = attempt.ticket;
  result.ended.end = ToAttemptEnd(exchange);
  result.ended.answer = Record(exchange.response);
  result.response = std::move(exchange.response);
  span.end_unix_ns = trace::UnixNanos();
  span.failed = result.ended.end != AttemptEnd::kAnswered;
  span.attributes = {{"endpoint", attempt.endpoint},
                     {"address", attempt.address},
                     {"attempt", std::to_string(attempt.number)}};
  spans_.Add(std::move(span));
  return result;
}

}  // namespace jacinth
