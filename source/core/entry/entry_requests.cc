#include <algorithm>
#include <utility>

#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

using protocol::ClaimVerdict;

/// Longest wait for an endpoint, as a part of the objective: a request refused
/// later has lost too much of it.
constexpr int kMaxWaitDivisor = 8;
/// Time after which a refused caller shall come again, as a part of the
/// objective.
constexpr int kRetryAfterDivisor = 4;

Error ErrorForVerdict(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kInProgress:
      return {ErrorKind::kClaimInProgress, "an attempt is still running"};
    case ClaimVerdict::kKeyReused:
      return {ErrorKind::kKeyReused, "the key belongs to another request"};
    case ClaimVerdict::kKeyExpired:
      return {ErrorKind::kKeyExpired, "the key is too old or from the future"};
    default:
      return {ErrorKind::kOutcomeUnknown,
              "an earlier attempt ended without a known outcome"};
  }
}

// True if an attempt could not be expected to end in time. Only for requests
// that have spent most of their time waiting: fresh ones are always tried, so
// that a slow spell is not taken to last for good.
bool IsTooLate(const RequestRecord& record,
               const ServiceState& service_state,
               Time now) {
  if (now >= record.deadline)
    return true;
  const Duration waited = now - record.arrived;
  const Duration left = record.deadline - now;
  return waited > left && !service_state.CanFinishByDeadline(
                              record.kind.name, record.deadline, now);
}

}  // namespace

void EntryNode::On(const RequestArrived& event, Time now) {
  const auto refuse = [&](const Error& error, Duration retry_after) {
    RefuseRequest refusal{error, AnswerFor(error.kind).outcome, retry_after};
    LogRefusal(event, refusal);
    actions_.answers.push_back({event.ticket, std::move(refusal), {}});
  };
  if (const auto error = CheckArrival(event)) {
    refuse(*error, kRetryAfter);
    return;
  }
  auto resolved = Resolve(event);
  if (!resolved) {
    refuse(resolved.error(), Duration{0});
    return;
  }
  RequestRecord record = std::move(*resolved);
  if (const auto error = CheckService(record, now)) {
    refuse(*error, RetryAfter(record));
    return;
  }
  Duration budget = record.kind.request_timeout;
  if (event.budget > Duration{0})
    budget = std::min(budget, event.budget);
  record.arrived = now;
  record.deadline = now + budget;
  record.wait_until = record.deadline;
  const Duration objective = record.kind.objective;
  if (objective > Duration{0}) {
    record.wait_until =
        std::min(record.deadline, now + objective / kMaxWaitDivisor);
  }
  ServiceState& service_state = services_.at(record.service);
  Admit(std::move(record), service_state, now);
}

// Finds the kind and the service of a request.
Result<RequestRecord> EntryNode::Resolve(const RequestArrived& event) {
  RequestRecord record;
  record.arrival = event;
  if (!event.host.empty()) {
    const auto* route = session_.fleet()->FindRoute(event.host, event.path);
    if (route == nullptr) {
      return Fail(ErrorKind::kUnknownPath,
                  "no route for " + event.host + event.path);
    }
    record.kind = route->kind;
    record.service =
        round_robin_by_route_[route->kind.name].Next(route->shares);
    return record;
  }
  const auto service_state = services_.find(event.service);
  if (service_state == services_.end() || service_state->second.removed) {
    return Fail(ErrorKind::kUnknownService,
                "no service called " + event.service);
  }
  const auto* kind =
      service_state->second.settings.FindKind(event.method, event.path);
  if (kind == nullptr) {
    return Fail(ErrorKind::kUnknownPath,
                "no request kind for " + event.method + " " + event.path);
  }
  record.kind = *kind;
  record.service = event.service;
  return record;
}

std::optional<Error> EntryNode::CheckArrival(
    const RequestArrived& event) const {
  if (phase_ == Phase::kRefusing)
    return Error{ErrorKind::kDraining, "look up another entry instance"};
  if (session_.fleet() == nullptr)
    return Error{ErrorKind::kNotReady, "no settings received yet"};
  if (event.budget < Duration{0})
    return Error{ErrorKind::kDeadlineExceeded, "no time was left on arrival"};
  return std::nullopt;
}

std::optional<Error> EntryNode::CheckService(const RequestRecord& record,
                                             Time now) const {
  const bool at_most_once = record.kind.execution == Execution::kAtMostOnce;
  if (at_most_once && record.arrival.idempotency_key.empty()) {
    return Error{ErrorKind::kMissingIdempotencyKey,
                 "requests of kind " + record.kind.name + " run at most once"};
  }
  if (at_most_once && !session_.InContact(now)) {
    return Error{ErrorKind::kControlUnreachable,
                 "requests of kind " + record.kind.name +
                     " need the control quorum; try another entry instance"};
  }
  const auto service_state = services_.find(record.service);
  if (service_state == services_.end() ||
      service_state->second.endpoints.UsableSlots() == 0) {
    return Error{ErrorKind::kNoEndpoint,
                 "no endpoint of " + record.service + " is usable"};
  }
  return std::nullopt;
}

// When a caller refused for lack of room may come again: well inside the
// objective, if there is one. Whoever is refused for want of settings waits
// longer, as these take a second to come.
Duration EntryNode::RetryAfter(const RequestRecord& record) const {
  const Duration objective = record.kind.objective;
  if (objective <= Duration{0})
    return kRetryAfter;
  return std::min(kRetryAfter, objective / kRetryAfterDivisor);
}

void EntryNode::Admit(RequestRecord record,
                      ServiceState& service_state,
                      Time now) {
  const RequestTicket ticket = record.arrival.ticket;
  const bool rank_admitted = ceilings_.TryEnter(record.kind.rank);
  if (!rank_admitted || !service_state.queue.TryEnter(record.kind.name)) {
    if (rank_admitted)
      ceilings_.Leave(record.kind.rank);
    Error error{ErrorKind::kOverloaded,
                "too many requests of kind " + record.kind.name};
    RefuseRequest refusal{std::move(error), Outcome::kNotRun,
                          RetryAfter(record)};
    LogRefusal(record.arrival, refusal);
    actions_.answers.push_back({ticket, std::move(refusal), record.kind.rank});
    return;
  }
  service_state.retries.OnFirstAttempt(now);
  const bool needs_claim = record.kind.execution == Execution::kAtMostOnce;
  RequestRecord& stored = requests_[ticket] = std::move(record);
  if (needs_claim) {
    StartClaim(stored, now);
    return;
  }
  service_state.queue.Enqueue(ticket, stored.kind.name, stored.wait_until);
  DispatchRequests(service_state, now);
}

void EntryNode::StartClaim(RequestRecord& record, Time now) {
  record.phase = RequestPhase::kClaiming;
  record.claim_id = options_.self.id + "/" +
                    std::to_string(options_.self.incarnation) + "/" +
                    std::to_string(record.arrival.ticket);
  tickets_by_claim_id_[record.claim_id] = record.arrival.ticket;
  protocol::ClaimRequest request;
  request.attempt = record.claim_id;
  request.key.caller = record.service + "/" + record.arrival.caller;
  request.key.key = record.arrival.idempotency_key;
  request.fingerprint = record.arrival.fingerprint;
  request.budget_ms = ToMillis(record.deadline - now);
  request.traceparent = record.arrival.traceparent;
  claims_.Claim(std::move(request), now);
}

void EntryNode::OnClaimReply(const protocol::ClaimReply& reply, Time now) {
  RequestRecord* record = FindByClaimId(reply.attempt);
  if (!claims_.OnClaimReply(reply) || record == nullptr)
    return;
  const RequestTicket ticket = record->arrival.ticket;
  if (reply.verdict == ClaimVerdict::kGranted) {
    ServiceState& service_state = services_.at(record->service);
    record->phase = RequestPhase::kWaiting;
    service_state.queue.Enqueue(ticket, record->kind.name, record->wait_until);
    DispatchRequests(service_state, now);
    return;
  }
  if (reply.verdict == ClaimVerdict::kRan) {
    End(ticket, RepeatAnswer{reply.answer}, now);
    return;
  }
  Error error = ErrorForVerdict(reply.verdict);
  const Outcome outcome = AnswerFor(error.kind).outcome;
  End(ticket, RefuseRequest{std::move(error), outcome, {}}, now);
}

void EntryNode::DispatchRequests(ServiceState& service_state, Time now) {
  while (service_state.queue.waiting() != 0 &&
         service_state.endpoints.HasFreeSlot(now)) {
    const auto ticket =
        service_state.queue.TakeNext(service_state.endpoints.UsableSlots());
    if (!ticket)
      return;
    RequestRecord& record = requests_.at(*ticket);
    record.phase = RequestPhase::kRunning;
    if (IsTooLate(record, service_state, now)) {
      Refuse(*ticket, {ErrorKind::kDeadlineExceeded, "waited too long"}, now);
      continue;
    }
    if (TryAttempt(record, service_state, now))
      continue;
    // No endpoint with room may serve it: it must not hold up those behind it.
    Refuse(*ticket, {ErrorKind::kOverloaded, "no endpoint has room"}, now);
  }
}

}  // namespace jacinth::entry
