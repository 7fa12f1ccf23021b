#include <utility>
#include <vector>

#include "core/entry/entry_node.h"

namespace jacinth::entry {

using protocol::FinishRequest;
using protocol::RecordedAnswer;

void EntryNode::On(const RequestAbandoned& event, Time now) {
  const auto found = requests_.find(event.ticket);
  if (found == requests_.end())
    return;
  RequestRecord& record = found->second;
  ServiceState& service_state = services_.at(record.service);
  if (record.phase == RequestPhase::kWaiting)
    service_state.queue.Remove(event.ticket);
  const bool was_sent = CancelExchange(record, now);
  const bool may_have_run = was_sent || record.may_have_run;
  FinishClaim(record, may_have_run ? Outcome::kUnknown : Outcome::kNotRun, {},
              now);
  RefuseRequest cancellation{
      {ErrorKind::kDeadlineExceeded,
       "the caller disconnected before the answer"},
      may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
      {}};
  EndRequest(event.ticket, std::move(cancellation), now);
  service_state.dispatch_due = true;
}

// Cancels the attempt or relay of a request, if there is one. Returns true if
// there was.
bool EntryNode::CancelExchange(RequestRecord& record, Time now) {
  const bool running = !record.endpoint.empty();
  if (running) {
    services_.at(record.service)
        .endpoints.OnAttemptEnd(record.endpoint,
                                forwarding::AttemptEnd::kCancelled, {}, now);
    RecordSliceUse(record, now);
    record.endpoint.clear();
  }
  const bool relayed = !record.relay_entry.empty();
  if (running || relayed)
    actions_.cancellations.push_back({record.arrival.ticket});
  return running || relayed;
}

// Refuses the requests that have waited too long for an endpoint or for the
// decision on their claim.
void EntryNode::RefuseExpired(Time now) {
  std::vector<RequestTicket> expired;
  for (auto& [name, service_state] : services_) {
    for (const RequestTicket ticket : service_state.queue.TakeExpired(now))
      expired.push_back(ticket);
  }
  for (const auto& [ticket, record] : requests_) {
    if (record.phase == RequestPhase::kClaiming && now >= record.deadline)
      expired.push_back(ticket);
  }
  for (const RequestTicket ticket : expired) {
    Refuse(ticket,
           {ErrorKind::kDeadlineExceeded,
            "no endpoint slot or claim decision was available in time"},
           now);
  }
}

// Refuses the queued requests of a service that has no usable endpoint.
void EntryNode::RefuseUnservable(ServiceState& service_state, Time now) {
  if (service_state.queue.waiting() == 0 ||
      service_state.endpoints.UsableSlots() != 0)
    return;
  std::vector<RequestTicket> unservable;
  for (const auto& [ticket, record] : requests_) {
    if (record.phase == RequestPhase::kWaiting &&
        record.service == service_state.settings.name)
      unservable.push_back(ticket);
  }
  for (const RequestTicket ticket : unservable) {
    service_state.queue.Remove(ticket);
    Refuse(ticket,
           {ErrorKind::kNoEndpoint, "no endpoint of the service is usable"},
           now);
  }
}

void EntryNode::Refuse(RequestTicket ticket, Error error, Time now) {
  const RequestRecord& record = requests_.at(ticket);
  const Outcome outcome =
      record.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  FinishClaim(record, outcome, {}, now);
  RefuseRequest refusal{std::move(error), outcome, {}};
  if (outcome == Outcome::kNotRun)
    refusal.retry_after = ScheduleReturn(record, now);
  EndRequest(ticket, std::move(refusal), now);
}

void EntryNode::FinishClaim(const RequestRecord& record,
                            Outcome outcome,
                            const RecordedAnswer& answer,
                            Time now) {
  if (record.claim_id.empty())
    return;
  FinishRequest finish;
  finish.attempt = record.claim_id;
  finish.key.caller = record.service + "/" + record.arrival.caller;
  finish.key.key = record.arrival.idempotency_key;
  finish.outcome = outcome;
  if (outcome == Outcome::kRan)
    finish.answer = answer;
  claim_client_.Finish(std::move(finish), now);
}

void EntryNode::EndRequest(RequestTicket ticket,
                           decltype(RequestAnswer::body) body,
                           Time now) {
  const auto found = requests_.find(ticket);
  const RequestRecord& record = found->second;
  const bool running = record.phase == RequestPhase::kRunning;
  services_.at(record.service).queue.Release(record.kind.name, running);
  ceilings_.Release(record.kind.rank);
  tickets_by_claim_id_.erase(record.claim_id);
  SettleBandwidth(record, now);
  LogRequestEnd(record, body, now);
  actions_.answers.push_back({ticket, std::move(body), record.kind.rank});
  requests_.erase(found);
}

RequestRecord* EntryNode::FindByClaimId(const std::string& claim_id) {
  const auto ticket = tickets_by_claim_id_.find(claim_id);
  if (ticket == tickets_by_claim_id_.end())
    return nullptr;
  const auto record = requests_.find(ticket->second);
  return record == requests_.end() ? nullptr : &record->second;
}

}  // namespace jacinth::entry
