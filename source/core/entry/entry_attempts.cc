#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using protocol::RecordedAnswer;

/// Longest wait asked by the owner of a slice for which it keeps the slice. In
/// a longer one, its objects are loaded elsewhere.
constexpr Duration kShortWait = 5s;

Error ErrorForAttemptEnd(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswerTooLarge:
      return {ErrorKind::kAnswerIncomplete,
              "the endpoint's answer exceeds the size limit"};
    case AttemptEnd::kAnswerIncomplete:
      return {ErrorKind::kAnswerIncomplete,
              "the endpoint's answer was truncated or malformed"};
    case AttemptEnd::kTimedOut:
      return {ErrorKind::kTimeout,
              "the endpoint did not send a complete answer in time"};
    case AttemptEnd::kRefused:
      return {ErrorKind::kOverloaded, "the endpoints refused the request"};
    case AttemptEnd::kAmbiguousRefusal:
      return {
          ErrorKind::kEndpointFailed,
          "the endpoint refused without stating whether it ran the request"};
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kMisdirected:
    case AttemptEnd::kWithdrawn:
      return {ErrorKind::kNoEndpoint,
              "no connection to an endpoint could be established"};
    default:
      return {ErrorKind::kEndpointFailed,
              "the connection to the endpoint was lost"};
  }
}

}  // namespace

// Returns true if an attempt or a relay of the request is in progress.
bool EntryNode::HasExchange(const RequestRecord& record) {
  return !record.endpoint.empty() || !record.relay_entry.empty();
}

// Chooses an endpoint and starts an attempt. Returns false if no endpoint has a
// free slot for the request.
bool EntryNode::TryAttempt(RequestRecord& record,
                           ServiceState& service_state,
                           Time now) {
  if (ShouldRelay(record, now))
    return StartRelay(record, now);
  forwarding::EndpointCriteria endpoint_criteria;
  endpoint_criteria.home_region = options_.self.region;
  endpoint_criteria.excluded_endpoints = record.excluded_endpoints;
  endpoint_criteria.regions = AllowedRegions(record);
  endpoint_criteria.random_value =
      Hash64(options_.self.id, record.arrival.ticket * 16 +
                                   static_cast<std::uint64_t>(record.attempts));
  if (record.kind.affinity && !record.arrival.object.empty())
    SetObjectPlacement(record, service_state, endpoint_criteria, now);
  auto endpoint = service_state.endpoints.ReserveSlot(endpoint_criteria, now);
  // After an unknown outcome, such as a lost connection, an endpoint that was
  // already tried may answer on a new connection.
  if (!endpoint && record.last_outcome_unknown) {
    endpoint_criteria.excluded_endpoints.clear();
    endpoint = service_state.endpoints.ReserveSlot(endpoint_criteria, now);
  }
  if (!endpoint) {
    if (service_state.endpoints.IsRateLimited())
      service_state.endpoints.CountRefusedDemand(endpoint_criteria.owner, now);
    return false;
  }
  const settings::EndpointSettings& endpoint_settings =
      *service_state.endpoints.Find(*endpoint);
  if (endpoint_criteria.slice_hash)
    ClaimSlice(record, service_state, *endpoint, now);
  record.endpoint = *endpoint;
  record.process = service_state.endpoints.ProcessOf(*endpoint);
  record.attempt_started = now;
  record.excluded_endpoints.insert(*endpoint);
  ++record.attempts;
  LogAttemptStart(record, service_state, endpoint_criteria, now);
  StartAttempt attempt;
  attempt.ticket = record.arrival.ticket;
  attempt.endpoint = *endpoint;
  attempt.address = endpoint_settings.address;
  attempt.incarnation = endpoint_settings.incarnation;
  attempt.execution = record.kind.execution;
  attempt.number = record.attempts;
  attempt.fresh_connection = record.attempts > 1;
  // Reserves time for another attempt if the request is repeatable and has
  // attempts left.
  const bool can_retry_later =
      record.kind.repeatable() && record.attempts < record.kind.max_attempts;
  attempt.timeout = record.deadline - now;
  if (can_retry_later)
    attempt.timeout = std::min(attempt.timeout, record.kind.attempt_timeout);
  const Duration until_stop =
      stop_ ? stop_->EndpointDeadline() - now : attempt.timeout;
  if (until_stop < attempt.timeout) {
    attempt.timeout = until_stop;
    attempt.answer_delay = stop_->exchanges_end - stop_->EndpointDeadline();
  }
  attempt.connect_timeout =
      std::min(service_state.settings.connect_timeout, attempt.timeout);
  service_state.sent.Count(1, now);
  links_.OnSent(now);
  actions_.attempts.push_back(std::move(attempt));
  return true;
}

void EntryNode::On(const AttemptEnded& event, Time now) {
  const auto found = requests_.find(event.ticket);
  if (found == requests_.end())
    return;
  RequestRecord& record = found->second;
  ServiceState& service_state = services_.at(record.service);
  OnNotices(service_state, record.endpoint, record.process, event.notices, now);
  service_state.endpoints.OnAttemptEnd(record.endpoint, event.end, event.load,
                                       now);
  TrackLinks(record, event, now);
  UpdateQuarantine(record, event.end, now);
  if (event.rate_limit)
    OnRateLimitNotice(record, service_state, *event.rate_limit, now);
  RecordSliceUse(record, now);
  record.answer_bytes += static_cast<double>(event.answer_bytes);
  const bool refused = event.end == AttemptEnd::kRefused;
  // The endpoint refused despite an idle slot. It may be chosen for the next
  // attempt, as it may own the object's slice and be warm for it.
  if (refused && event.load && event.load->HasIdleSlot())
    record.excluded_endpoints.erase(record.endpoint);
  record.endpoint.clear();
  const Outcome outcome = forwarding::OutcomeOf(event.end);
  const bool should_move = outcome == Outcome::kNotRun &&
                           !record.may_have_run && now < record.deadline &&
                           HasMoved(record);
  if (should_move) {
    LogAttemptEnd(record, event.end, /*will_retry=*/true, now);
    MoveRequest(TakeRequest(event.ticket, now), now);
    service_state.dispatch_due = true;
    return;
  }
  const bool should_requeue =
      now < record.deadline && !HasMoved(record) &&
      (event.end == AttemptEnd::kWithdrawn ||
       (refused && !options_.limits.count_refusals_as_retries));
  if (should_requeue) {
    LogAttemptEnd(record, event.end, /*will_retry=*/true, now);
    RequeueRequest(record, service_state);
    return;
  }
  const bool may_retry = event.end != AttemptEnd::kAnswered &&
                         TryAcquireRetry(record, service_state, event.end, now);
  record.may_have_run |= outcome != Outcome::kNotRun;
  record.last_outcome_unknown = outcome == Outcome::kUnknown;
  if (event.end != AttemptEnd::kAnswered)
    LogAttemptEnd(record, event.end, may_retry, now);
  if (may_retry && TryAttempt(record, service_state, now))
    return;
  const bool answered = event.end == AttemptEnd::kAnswered ||
                        event.end == AttemptEnd::kAnsweredFailure;
  if (answered) {
    service_state.RecordAnswerTime(record.kind.name,
                                   now - record.attempt_started);
    service_state.RecordAnswerBytes(record.kind.name,
                                    static_cast<double>(event.answer_bytes));
    FinishClaim(record, Outcome::kRan, event.answer, now);
    EndRequest(event.ticket, ForwardAnswer{}, now);
    service_state.dispatch_due = true;
    return;
  }
  // Other entries may reach an endpoint although this one doesn't, before its
  // links are known to be lost. If connections time out, the links may be
  // overloaded, and a relay would add to that.
  if (event.connection_refused && !record.may_have_run &&
      service_state.retries.TryRetry(now) && CanRelay(record, now) &&
      StartRelay(record, now))
    return;
  const Outcome overall_outcome =
      record.may_have_run
          ? (outcome == Outcome::kRan ? Outcome::kRan : Outcome::kUnknown)
          : Outcome::kNotRun;
  RecordedAnswer recorded_answer = event.answer;
  recorded_answer.body_dropped = true;
  FinishClaim(record, overall_outcome, recorded_answer, now);
  RefuseRequest refusal{ErrorForAttemptEnd(event.end), overall_outcome, {}};
  if (overall_outcome == Outcome::kNotRun)
    refusal.retry_after = ScheduleReturn(record, now);
  EndRequest(event.ticket, std::move(refusal), now);
  service_state.dispatch_due = true;
}

// Sets the object's slice and its owner. If the slice has no usable owner,
// proposes one.
void EntryNode::SetObjectPlacement(
    const RequestRecord& record,
    const ServiceState& service_state,
    forwarding::EndpointCriteria& endpoint_criteria,
    Time now) const {
  const forwarding::SliceMap& slices = session_.slices();
  const std::uint32_t slice =
      forwarding::SliceMap::SliceOf(record.arrival.object);
  endpoint_criteria.slice_hash = Hash64(record.service, slice);
  endpoint_criteria.owner = slices.OwnerOf(record.service, slice);
  if (!endpoint_criteria.owner.empty() &&
      service_state.endpoints.CanReceiveRequests(endpoint_criteria.owner))
    return;
  endpoint_criteria.owner = service_state.endpoints.ProposeOwner(
      endpoint_criteria,
      [&](const std::string& endpoint) {
        return slices.OwnedSliceCount(endpoint);
      },
      now);
}

// Records that a request of the slice is sent to `endpoint`, and claims the
// slice for that endpoint unless it is the confirmed owner.
void EntryNode::ClaimSlice(const RequestRecord& record,
                           const ServiceState& service_state,
                           const std::string& endpoint,
                           Time now) {
  forwarding::SliceMap& slices = session_.slices();
  const std::uint32_t slice =
      forwarding::SliceMap::SliceOf(record.arrival.object);
  const std::string& owner = slices.OwnerOf(record.service, slice);
  const Duration wait = service_state.endpoints.RemainingWait(owner, now);
  // An owner that asks for a short wait keeps the objects that it has loaded.
  if (wait > Duration{0} && wait <= kShortWait && owner != endpoint)
    return;
  const bool usable = !owner.empty() && wait == Duration{0} &&
                      service_state.endpoints.CanReceiveRequests(owner);
  // If the owner has no capacity, the request makes another endpoint load the
  // object, so the slice is claimed for that endpoint.
  slices.RecordSend(record.service, slice, endpoint, usable);
  if (slices.has_claims())
    session_.ExpediteHeartbeat(now);
}

// Records how long the request was at the owner of its slice, so that the
// control role can balance the load of the owners.
void EntryNode::RecordSliceUse(const RequestRecord& record, Time now) {
  if (!record.kind.affinity || record.arrival.object.empty())
    return;
  session_.slices().RecordUse(
      record.service, forwarding::SliceMap::SliceOf(record.arrival.object),
      record.endpoint, now - record.attempt_started);
}

// Requeues a refused request ahead of those that arrived after it. The refusal
// does not count as an attempt, as the endpoint ran nothing.
void EntryNode::RequeueRequest(RequestRecord& record,
                               ServiceState& service_state) {
  --record.attempts;
  // A request that excludes no endpoint does not block those behind it.
  record.excluded_endpoints.clear();
  record.phase = RequestPhase::kWaiting;
  service_state.queue.Requeue(record.arrival.ticket, record.kind.name,
                              record.wait_until);
  service_state.dispatch_due = true;
}

// Returns true if the request may be retried after `end`. The retry is then
// taken from the service's budget.
bool EntryNode::TryAcquireRetry(const RequestRecord& record,
                                ServiceState& service_state,
                                AttemptEnd end,
                                Time now) const {
  if (now >= record.deadline || record.attempts >= record.kind.max_attempts ||
      !CanEndBeforeStop(record, service_state, now) || HasMoved(record))
    return false;
  if (quarantine_.Judge(record.suspect_id) != quarantine::Verdict::kClear)
    return false;
  const Outcome outcome = forwarding::OutcomeOf(end);
  // A request that was answered with a failure has run, and is retried like
  // other failed attempts. An answer that was too large would be too large
  // again.
  const bool can_succeed = end != AttemptEnd::kAnswerTooLarge;
  const bool is_safe =
      outcome == Outcome::kNotRun || (record.kind.repeatable() && can_succeed);
  return is_safe && service_state.retries.TryRetry(now);
}

}  // namespace jacinth::entry
