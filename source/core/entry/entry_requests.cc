#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

using protocol::ClaimVerdict;
using protocol::FinishRequest;
using protocol::RecordedAnswer;

Error ErrorOfVerdict(ClaimVerdict verdict) {
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
bool IsTooLate(const RequestRecord& record, const ServiceDesk& desk, Time now) {
  if (now >= record.deadline)
    return true;
  const Duration waited = now - record.arrived;
  const Duration left = record.deadline - now;
  return waited > left &&
         !desk.CanEndInTime(record.kind.name, record.deadline, now);
}

}  // namespace

void EntryNode::On(const RequestArrived& event, Time now) {
  if (const auto error = CheckArrival(event, now)) {
    RefuseRequest refusal{*error, AnswerFor(error->kind).outcome, {}};
    actions_.answers.push_back({event.ticket, std::move(refusal)});
    return;
  }
  ServiceDesk& desk = desks_.at(event.service);
  RequestRecord record;
  record.arrival = event;
  record.kind = *desk.settings.FindKind(event.method, event.path);
  Duration budget = record.kind.request_timeout;
  if (event.budget > Duration{0})
    budget = std::min(budget, event.budget);
  record.arrived = now;
  record.deadline = now + budget;
  Admit(std::move(record), desk, now);
}

std::optional<Error> EntryNode::CheckArrival(const RequestArrived& event,
                                             Time now) const {
  if (phase_ == Phase::kRefusing)
    return Error{ErrorKind::kDraining, "look up another entry instance"};
  if (session_.fleet() == nullptr)
    return Error{ErrorKind::kNotReady, "no settings received yet"};
  const auto desk = desks_.find(event.service);
  if (desk == desks_.end() || desk->second.removed) {
    return Error{ErrorKind::kUnknownService,
                 "no service called " + event.service};
  }
  const auto* kind = desk->second.settings.FindKind(event.method, event.path);
  if (kind == nullptr) {
    return Error{ErrorKind::kUnknownPath,
                 "no request kind for " + event.method + " " + event.path};
  }
  if (event.budget < Duration{0})
    return Error{ErrorKind::kDeadlineExceeded, "no time was left on arrival"};
  if (!kind->repeatable && event.idempotency_key.empty()) {
    return Error{ErrorKind::kMissingIdempotencyKey,
                 "requests of kind " + kind->name + " run at most once"};
  }
  if (!kind->repeatable && !session_.InContact(now)) {
    return Error{ErrorKind::kControlUnreachable,
                 "requests of kind " + kind->name +
                     " need the control quorum; try another entry instance"};
  }
  if (desk->second.endpoints.UsableSlots() == 0) {
    return Error{ErrorKind::kNoEndpoint,
                 "no endpoint of " + event.service + " is usable"};
  }
  return std::nullopt;
}

void EntryNode::Admit(RequestRecord record, ServiceDesk& desk, Time now) {
  const RequestTicket ticket = record.arrival.ticket;
  const bool has_place = ceilings_.TryEnter(record.kind.rank);
  if (!has_place || !desk.queue.TryEnter(record.kind.name)) {
    if (has_place)
      ceilings_.Leave(record.kind.rank);
    Error error{ErrorKind::kOverloaded,
                "too many requests of kind " + record.kind.name};
    RefuseRequest refusal{std::move(error), Outcome::kNotRun, kRetryAfter};
    actions_.answers.push_back({ticket, std::move(refusal)});
    return;
  }
  desk.retries.OnFirstAttempt(desk.settings.retry_budget_percent);
  const bool needs_claim = !record.kind.repeatable;
  RequestRecord& kept = requests_[ticket] = std::move(record);
  if (needs_claim) {
    StartClaim(kept, now);
    return;
  }
  desk.queue.Enqueue(ticket, kept.kind.name, kept.deadline);
  Pump(desk, now);
}

void EntryNode::StartClaim(RequestRecord& record, Time now) {
  record.phase = RequestPhase::kClaiming;
  record.claim = options_.self.id + "/" +
                 std::to_string(options_.self.incarnation) + "/" +
                 std::to_string(record.arrival.ticket);
  tickets_by_claim_[record.claim] = record.arrival.ticket;
  protocol::ClaimRequest request;
  request.attempt = record.claim;
  request.key.caller = record.arrival.service + "/" + record.arrival.caller;
  request.key.key = record.arrival.idempotency_key;
  request.fingerprint = record.arrival.fingerprint;
  request.budget_ms = ToMillis(record.deadline - now);
  request.traceparent = record.arrival.traceparent;
  claims_.Claim(std::move(request), now);
}

void EntryNode::OnClaimReply(const protocol::ClaimReply& reply, Time now) {
  RequestRecord* record = FindByClaim(reply.attempt);
  if (!claims_.OnClaimReply(reply) || record == nullptr)
    return;
  const RequestTicket ticket = record->arrival.ticket;
  if (reply.verdict == ClaimVerdict::kGranted) {
    ServiceDesk& desk = desks_.at(record->arrival.service);
    record->phase = RequestPhase::kWaiting;
    desk.queue.Enqueue(ticket, record->kind.name, record->deadline);
    Pump(desk, now);
    return;
  }
  if (reply.verdict == ClaimVerdict::kRan) {
    End(ticket, RepeatAnswer{reply.answer});
    return;
  }
  Error error = ErrorOfVerdict(reply.verdict);
  const Outcome outcome = AnswerFor(error.kind).outcome;
  End(ticket, RefuseRequest{std::move(error), outcome, {}});
}

void EntryNode::Pump(ServiceDesk& desk, Time now) {
  while (desk.queue.waiting() != 0 && desk.endpoints.HasFreeSlot(now)) {
    const auto ticket = desk.queue.TakeNext(desk.endpoints.UsableSlots());
    if (!ticket)
      return;
    RequestRecord& record = requests_.at(*ticket);
    record.phase = RequestPhase::kRunning;
    if (IsTooLate(record, desk, now)) {
      Refuse(*ticket, {ErrorKind::kDeadlineExceeded, "waited too long"}, now);
      continue;
    }
    // There is room, and no endpoint is ruled out yet.
    TryAttempt(record, desk, now);
  }
}

void EntryNode::RefuseExpired(Time now) {
  std::vector<RequestTicket> expired;
  for (auto& [name, desk] : desks_) {
    for (const RequestTicket ticket : desk.queue.TakeExpired(now))
      expired.push_back(ticket);
  }
  for (const auto& [ticket, record] : requests_) {
    if (record.phase == RequestPhase::kClaiming && now >= record.deadline)
      expired.push_back(ticket);
  }
  for (const RequestTicket ticket : expired) {
    Refuse(ticket, {ErrorKind::kDeadlineExceeded, "waited too long"}, now);
  }
}

void EntryNode::RefuseUnservable(ServiceDesk& desk, Time now) {
  if (desk.queue.waiting() == 0 || desk.endpoints.UsableSlots() != 0)
    return;
  std::vector<RequestTicket> stranded;
  for (const auto& [ticket, record] : requests_) {
    if (record.phase == RequestPhase::kWaiting &&
        record.arrival.service == desk.settings.name)
      stranded.push_back(ticket);
  }
  for (const RequestTicket ticket : stranded) {
    desk.queue.Remove(ticket);
    Refuse(ticket, {ErrorKind::kNoEndpoint, "no endpoint is usable"}, now);
  }
}

void EntryNode::Refuse(RequestTicket ticket, Error error, Time now) {
  const RequestRecord& record = requests_.at(ticket);
  const Outcome outcome =
      record.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  FinishClaim(record, outcome, {}, now);
  const bool overload = error.kind == ErrorKind::kDeadlineExceeded ||
                        error.kind == ErrorKind::kNoEndpoint;
  RefuseRequest refusal{std::move(error), outcome, {}};
  if (overload)
    refusal.retry_after = kRetryAfter;
  End(ticket, std::move(refusal));
}

void EntryNode::FinishClaim(const RequestRecord& record,
                            Outcome outcome,
                            const RecordedAnswer& answer,
                            Time now) {
  if (record.claim.empty())
    return;
  FinishRequest finish;
  finish.attempt = record.claim;
  finish.key.caller = record.arrival.service + "/" + record.arrival.caller;
  finish.key.key = record.arrival.idempotency_key;
  finish.outcome = outcome;
  if (outcome == Outcome::kRan)
    finish.answer = answer;
  claims_.Finish(std::move(finish), now);
}

void EntryNode::End(RequestTicket ticket, decltype(RequestAnswer::body) body) {
  const auto found = requests_.find(ticket);
  const RequestRecord& record = found->second;
  const bool running = record.phase == RequestPhase::kRunning;
  desks_.at(record.arrival.service).queue.Leave(record.kind.name, running);
  ceilings_.Leave(record.kind.rank);
  tickets_by_claim_.erase(record.claim);
  requests_.erase(found);
  actions_.answers.push_back({ticket, std::move(body)});
}

RequestRecord* EntryNode::FindByClaim(const std::string& claim) {
  const auto ticket = tickets_by_claim_.find(claim);
  if (ticket == tickets_by_claim_.end())
    return nullptr;
  const auto record = requests_.find(ticket->second);
  return record == requests_.end() ? nullptr : &record->second;
}

}  // namespace jacinth::entry
