#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

using protocol::ClaimVerdict;

/// Divisor of the objective that gives the longest wait for an endpoint. A
/// later refusal would use up too much of the objective.
constexpr int kMaxWaitDivisor = 8;
/// Divisor of the objective that gives the retry delay of a refused caller.
constexpr int kRetryAfterDivisor = 4;

/// Time that an instance needs at most to get settings and endpoints if the
/// control role starts along with it.
constexpr Duration kStartTime = 2s;
/// Shortest time after which callers return to an instance that isn't ready,
/// and the time over which they are spread.
constexpr Duration kMinReadyWait = 300ms;
constexpr Duration kReturnSpread = 1s;

Error EndsTooLateError() {
  return {ErrorKind::kDraining,
          "this instance stops before the request is expected to end"};
}

Error ErrorForVerdict(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kInProgress:
      return {ErrorKind::kClaimInProgress,
              "an earlier attempt with this idempotency key is still running"};
    case ClaimVerdict::kKeyReused:
      return {ErrorKind::kKeyReused,
              "the idempotency key was used for a different request"};
    case ClaimVerdict::kKeyExpired:
      return {ErrorKind::kKeyExpired,
              "the idempotency key is too old or dated in the future"};
    default:
      return {ErrorKind::kOutcomeUnknown,
              "an earlier attempt with this idempotency key has an unknown "
              "outcome"};
  }
}

// Returns true if an attempt started now is not expected to end before the
// deadline. The average answer time is considered only for requests that have
// spent most of their time waiting. Other requests are always tried, as the
// average could not recover from a slow period otherwise.
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
    RefuseRequest refusal{error, GetErrorKindInfo(error.kind).outcome,
                          retry_after};
    LogRefusal(event, refusal);
    actions_.answers.push_back({event.ticket, std::move(refusal), {}});
  };
  CountArrival(event, now);
  if (const auto error = CheckArrival(event, now)) {
    refuse(*error, error->kind == ErrorKind::kNotReady
                       ? ReturnWhenReady(event.ticket, now)
                       : kReturnElsewhere);
    return;
  }
  if (session_.MayBeReplaced(event.host, event.path, now,
                             options_.limits.settings_bound)) {
    refuse({ErrorKind::kNotReady, "newer settings have not been received yet"},
           kReturnElsewhere);
    return;
  }
  auto resolved = Resolve(event);
  if (!resolved && !session_.HasNewestSettings(now)) {
    refuse({ErrorKind::kNotReady,
            resolved.error().detail + " here, but the settings are outdated"},
           options_.heartbeat);
    return;
  }
  if (!resolved) {
    refuse(resolved.error(), Duration{0});
    return;
  }
  RequestRecord record = std::move(*resolved);
  record.suspect_id = SuspectId(event);
  if (const auto error = CheckQuarantine(record)) {
    refuse(*error, kMaxRetryAfter);
    return;
  }
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
  if (!CanEndBeforeStop(record, service_state, now)) {
    refuse(EndsTooLateError(), kReturnElsewhere);
    return;
  }
  const bool links_lost = links_.state() == forwarding::LinkState::kLost;
  if (links_lost && !CanRelay(record, now)) {
    refuse({ErrorKind::kNoEndpoint, "this instance reaches no endpoint"},
           RetryAfter(record));
    return;
  }
  if (!links_lost && RefuseBeyondRate(record, service_state, now))
    return;
  if (RefuseBeyondBandwidth(record, now))
    return;
  Admit(std::move(record), service_state, now);
}

// Resolves the kind and the service of a request.
Result<RequestRecord> EntryNode::Resolve(const RequestArrived& event) {
  RequestRecord record;
  record.arrival = event;
  record.revision = session_.fleet()->revision;
  if (!event.host.empty()) {
    const auto* route = session_.fleet()->FindRoute(event.host, event.path);
    if (route == nullptr) {
      return Fail(ErrorKind::kUnknownPath,
                  "no route matches " + event.host + event.path);
    }
    record.kind = route->kind;
    record.service =
        round_robin_by_route_[route->kind.name].Next(route->shares);
    return record;
  }
  const auto service_state = services_.find(event.service);
  if (service_state == services_.end() || service_state->second.removed) {
    return Fail(ErrorKind::kUnknownService, "unknown service " + event.service);
  }
  const auto* kind =
      service_state->second.settings.FindKind(event.method, event.path);
  if (kind == nullptr) {
    return Fail(ErrorKind::kUnknownPath,
                "no request kind matches " + event.method + " " + event.path);
  }
  record.kind = *kind;
  record.service = event.service;
  return record;
}

// Returns the regions that may serve the request by the settings in force,
// which may be newer than those that it was admitted by; an empty list allows
// all. If no route to the request's service matches any more, the request is
// completed by its old route: the regions of another one say nothing of this
// service.
const std::vector<std::string>& EntryNode::AllowedRegions(
    const RequestRecord& record) const {
  if (record.revision == session_.fleet()->revision)
    return record.kind.regions;
  const settings::RouteSettings* route = RouteOf(record);
  const bool leads_to_service =
      route != nullptr && LeadsTo(*route, record.service);
  return leads_to_service ? route->kind.regions : record.kind.regions;
}

std::optional<Error> EntryNode::CheckArrival(const RequestArrived& event,
                                             Time now) const {
  if (stop_ && now >= stop_->intake_end)
    return Error{ErrorKind::kDraining,
                 "this instance is draining; look up another entry instance"};
  if (session_.fleet() == nullptr)
    return Error{ErrorKind::kNotReady,
                 "no settings received from the control role yet"};
  if (AwaitsEndpoints())
    return Error{ErrorKind::kNotReady, "no endpoint list received yet"};
  if (IsDecidedElsewhere(event, now)) {
    return Error{ErrorKind::kNotReady,
                 "the settings are older than those of the instance that "
                 "handed the request over"};
  }
  if (event.budget < Duration{0})
    return Error{ErrorKind::kDeadlineExceeded,
                 "the deadline had passed when the request arrived"};
  return std::nullopt;
}

std::optional<Error> EntryNode::CheckService(const RequestRecord& record,
                                             Time now) const {
  const bool at_most_once = record.kind.execution == Execution::kAtMostOnce;
  if (at_most_once && record.arrival.idempotency_key.empty()) {
    return Error{ErrorKind::kMissingIdempotencyKey,
                 "requests of kind " + record.kind.name +
                     " run at most once and need an idempotency key"};
  }
  if (at_most_once && !session_.InContact(now)) {
    return Error{ErrorKind::kControlUnreachable,
                 "requests of kind " + record.kind.name +
                     " need the control quorum, which is not reachable; try "
                     "another entry instance"};
  }
  const auto service_state = services_.find(record.service);
  if (service_state == services_.end() ||
      service_state->second.endpoints.UsableSlots() == 0) {
    return Error{ErrorKind::kNoEndpoint,
                 "no endpoint of " + record.service + " is usable"};
  }
  return std::nullopt;
}

// Returns when callers should come back to an instance that has just started.
// If the whole fleet has, no other instance serves them earlier.
Duration EntryNode::ReturnWhenReady(RequestTicket ticket, Time now) const {
  const Duration uptime = now - started_.value_or(now);
  const auto spread = static_cast<std::int64_t>(
      Hash64(options_.self.id, ticket) %
      static_cast<std::uint64_t>(kReturnSpread.count()));
  return std::max(kStartTime - uptime, kMinReadyWait) + Duration(spread);
}

// Returns the time after which a caller refused for lack of capacity may retry:
// a fraction of the objective, if there is one.
Duration EntryNode::RetryAfter(const RequestRecord& record) const {
  const Duration objective = record.kind.objective;
  if (objective <= Duration{0})
    return kMaxRetryAfter;
  return std::min(kMaxRetryAfter, objective / kRetryAfterDivisor);
}

void EntryNode::Admit(RequestRecord record,
                      ServiceState& service_state,
                      Time now) {
  const RequestTicket ticket = record.arrival.ticket;
  const bool rank_admitted = ceilings_.TryAdmit(record.kind.rank);
  if (!rank_admitted || !service_state.queue.TryAdmit(record.kind.name)) {
    if (rank_admitted)
      ceilings_.Release(record.kind.rank);
    Error error{ErrorKind::kOverloaded,
                "too many requests of kind " + record.kind.name};
    RefuseRequest refusal{std::move(error), Outcome::kNotRun,
                          ScheduleReturn(record, now)};
    LogRefusal(record.arrival, refusal);
    actions_.answers.push_back({ticket, std::move(refusal), record.kind.rank});
    return;
  }
  // The entry that handed the request over has counted it.
  if (!record.arrival.relayed)
    service_state.retries.OnFirstAttempt(now);
  const bool needs_claim = record.kind.execution == Execution::kAtMostOnce;
  RequestRecord& stored = requests_[ticket] = std::move(record);
  CountExpectedAnswer(stored, service_state, now);
  if (ShouldRelay(stored, now)) {
    stored.phase = RequestPhase::kRelaying;
    StartRelay(stored, now);
    return;
  }
  if (needs_claim) {
    StartClaim(stored, now);
    return;
  }
  service_state.queue.Enqueue(ticket, stored.kind.name, stored.wait_until);
  service_state.dispatch_due = true;
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
  claim_client_.Claim(std::move(request), now);
}

void EntryNode::OnClaimReply(const protocol::ClaimReply& reply, Time now) {
  RequestRecord* record = FindByClaimId(reply.attempt);
  if (!claim_client_.OnClaimReply(reply) || record == nullptr)
    return;
  const RequestTicket ticket = record->arrival.ticket;
  if (reply.verdict == ClaimVerdict::kGranted) {
    ServiceState& service_state = services_.at(record->service);
    record->phase = RequestPhase::kWaiting;
    service_state.queue.Enqueue(ticket, record->kind.name, record->wait_until);
    service_state.dispatch_due = true;
    return;
  }
  if (reply.verdict == ClaimVerdict::kRan) {
    EndRequest(ticket, ReplayAnswer{reply.answer}, now);
    return;
  }
  Error error = ErrorForVerdict(reply.verdict);
  const Outcome outcome = GetErrorKindInfo(error.kind).outcome;
  EndRequest(ticket, RefuseRequest{std::move(error), outcome, {}}, now);
}

// Starts attempts of queued requests while endpoints have free slots, and
// refuses those that rate limits keep out.
void EntryNode::DispatchRequests(ServiceState& service_state, Time now) {
  while (service_state.queue.waiting() != 0 &&
         service_state.endpoints.HasFreeSlot(now)) {
    const auto ticket =
        service_state.queue.TakeNext(service_state.endpoints.UsableSlots());
    if (!ticket)
      break;
    RequestRecord& record = requests_.at(*ticket);
    if (HasExchange(record)) {
      LogPreventedExchange(record);
      // Takes back what TakeNext() has counted.
      service_state.queue.Requeue(*ticket, record.kind.name, record.wait_until);
      service_state.queue.Remove(*ticket);
      continue;
    }
    record.phase = RequestPhase::kRunning;
    if (IsTooLate(record, service_state, now)) {
      Refuse(*ticket,
             {ErrorKind::kDeadlineExceeded,
              "too little time is left for an attempt"},
             now);
      continue;
    }
    if (const auto error = CheckQuarantine(record)) {
      Refuse(*ticket, *error, now);
      continue;
    }
    if (!CanEndBeforeStop(record, service_state, now)) {
      Refuse(*ticket, EndsTooLateError(), now);
      continue;
    }
    if (TryAttempt(record, service_state, now))
      continue;
    // No endpoint with a free slot may serve the request. It is refused so that
    // it does not block the requests behind it.
    Refuse(*ticket,
           {ErrorKind::kOverloaded,
            "no endpoint that may serve the request has a free slot"},
           now);
  }
  RefuseWaitingBeyondRate(service_state, now);
}

}  // namespace jacinth::entry
