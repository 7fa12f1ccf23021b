#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {

generated::ClaimKey ToWire(const protocol::ClaimKey& key) {
  generated::ClaimKey out;
  out.caller = key.caller;
  out.key = key.key;
  return out;
}

protocol::ClaimKey FromWire(const generated::ClaimKey& key) {
  return {key.caller, key.key};
}

generated::RecordedAnswer ToWire(const protocol::RecordedAnswer& answer) {
  generated::RecordedAnswer out;
  out.status = answer.status;
  out.content_type = answer.content_type;
  out.body = answer.body;
  out.body_dropped = answer.body_dropped;
  return out;
}

protocol::RecordedAnswer FromWire(const generated::RecordedAnswer& answer) {
  return {answer.status, answer.content_type, answer.body, answer.body_dropped};
}

generated::ClaimRequest ToWire(const protocol::ClaimRequest& request) {
  generated::ClaimRequest out;
  out.attempt = request.attempt;
  out.key = ToWire(request.key);
  out.fingerprint = static_cast<std::int64_t>(request.fingerprint);
  out.budget_ms = request.budget_ms;
  out.traceparent = request.traceparent;
  return out;
}

protocol::ClaimRequest FromWire(const generated::ClaimRequest& request) {
  protocol::ClaimRequest out;
  out.attempt = request.attempt;
  out.key = FromWire(request.key);
  out.fingerprint = static_cast<std::uint64_t>(request.fingerprint);
  out.budget_ms = request.budget_ms;
  out.traceparent = request.traceparent;
  return out;
}

generated::ClaimReply ToWire(const protocol::ClaimReply& reply) {
  generated::ClaimReply out;
  out.attempt = reply.attempt;
  out.decided = reply.decided;
  out.verdict = static_cast<std::int32_t>(reply.verdict);
  out.answer = ToWire(reply.answer);
  return out;
}

Result<protocol::ClaimReply> FromWire(const generated::ClaimReply& reply) {
  const auto verdict =
      ToEnum(reply.verdict, protocol::ClaimVerdict::kAttemptClosed);
  if (!verdict)
    return tl::unexpected(verdict.error());
  protocol::ClaimReply out;
  out.attempt = reply.attempt;
  out.decided = reply.decided;
  out.verdict = *verdict;
  out.answer = FromWire(reply.answer);
  return out;
}

generated::FinishRequest ToWire(const protocol::FinishRequest& request) {
  generated::FinishRequest out;
  out.attempt = request.attempt;
  out.key = ToWire(request.key);
  out.outcome = static_cast<std::int32_t>(request.outcome);
  out.answer = ToWire(request.answer);
  return out;
}

Result<protocol::FinishRequest> FromWire(
    const generated::FinishRequest& request) {
  const auto outcome = ToEnum(request.outcome, Outcome::kUnknown);
  if (!outcome)
    return tl::unexpected(outcome.error());
  protocol::FinishRequest out;
  out.attempt = request.attempt;
  out.key = FromWire(request.key);
  out.outcome = *outcome;
  out.answer = FromWire(request.answer);
  return out;
}

}  // namespace jacinth::wire
