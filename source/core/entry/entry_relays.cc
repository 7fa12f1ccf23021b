#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/common/hash.h"
#include "core/entry/allowed_regions.h"
#include "core/entry/entry_node.h"
#include "core/settings/route_digest.h"
#include "core/steering/isolated_entries.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using forwarding::LinkState;
using protocol::EntryStatus;

/// Number of entries that one request is handed to at most.
constexpr std::size_t kMaxRelays = 3;
/// Time for which no request is handed to an entry that could not be reached or
/// reached no endpoint: a few heartbeats, after which the member list tells.
constexpr Duration kAvoidEntryTime = 2s;
/// Digest that says that no settings match a request.
constexpr std::uint64_t kNoDecision = 1;

Error ErrorForRelayEnd(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kRefused:
    case AttemptEnd::kWithdrawn:
      return {ErrorKind::kNoEndpoint,
              "neither this instance nor other entries reach an endpoint"};
    case AttemptEnd::kTimedOut:
      return {ErrorKind::kTimeout,
              "the entry that the request was handed to did not answer in "
              "time"};
    default:
      return {ErrorKind::kEndpointFailed,
              "the connection to the entry that the request was handed to was "
              "lost"};
  }
}

}  // namespace

bool IsEntryUnavailable(ErrorKind kind) {
  return kind == ErrorKind::kNoEndpoint || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kDraining || kind == ErrorKind::kControlUnreachable;
}

// Returns true if this instance can't serve the request but another entry may.
bool EntryNode::ShouldRelay(const RequestRecord& record, Time now) const {
  return links_.state() == LinkState::kLost && CanRelay(record, now);
}

// A request is handed over once only, and not under a claim of this instance,
// as the other entry would need the same claim.
bool EntryNode::CanRelay(const RequestRecord& record, Time now) const {
  return !record.arrival.relayed && record.claim_id.empty() &&
         now < record.deadline && record.tried_entries.size() < kMaxRelays &&
         SelectRelayEntry(record, now) != nullptr;
}

// Selects another entry at random, in this region unless too few there can be
// used to bear the callers of the others, and never outside the regions that
// may serve the request.
const EntryStatus* EntryNode::SelectRelayEntry(const RequestRecord& record,
                                               Time now) const {
  std::vector<const EntryStatus*> local;
  std::vector<const EntryStatus*> all;
  // The region has lost this instance at least.
  steering::RegionEntries in_own_region{.lost = 1};
  const std::vector<std::string>& regions = HandOverRegions(record);
  for (const EntryStatus& entry : session_.members()) {
    const bool in_region = entry.region == options_.self.region;
    in_own_region.members += in_region && !entry.starting ? 1 : 0;
    const auto avoided = avoided_entries_.find(entry.id);
    const bool usable =
        entry.id != options_.self.id && !entry.isolated && !entry.draining &&
        session_.fleet()->drained_entries.count(entry.id) == 0 &&
        IsAllowedRegion(regions, entry.region) &&
        record.tried_entries.count(entry.id) == 0 &&
        (avoided == avoided_entries_.end() || now >= avoided->second);
    if (!usable)
      continue;
    all.push_back(&entry);
    if (in_region)
      local.push_back(&entry);
  }
  in_own_region.usable = local.size();
  const auto& candidates =
      steering::RegionSuffices(in_own_region) ? local : all;
  if (candidates.empty())
    return nullptr;
  return candidates[Hash64(options_.self.id, record.arrival.ticket) %
                    candidates.size()];
}

// Returns a digest of the settings in force that decide the request.
std::uint64_t EntryNode::DecisionOn(const RequestArrived& arrival) const {
  if (!arrival.host.empty()) {
    const settings::RouteSettings* route =
        session_.fleet()->FindRoute(arrival.host, arrival.path);
    return route == nullptr ? kNoDecision : settings::DigestOf(*route);
  }
  const auto service_state = services_.find(arrival.service);
  if (service_state == services_.end() || service_state->second.removed)
    return kNoDecision;
  const settings::KindSettings* kind =
      service_state->second.settings.FindKind(arrival.method, arrival.path);
  return kind == nullptr ? kNoDecision : settings::DigestOf(*kind);
}

// Returns true if the request comes from an entry with newer settings, by which
// it may be served otherwise than by those in force here.
bool EntryNode::IsDecidedElsewhere(const RequestArrived& event,
                                   Time now) const {
  if (event.relay_revision <= session_.fleet()->revision)
    return false;
  if (event.relay_decision != 0)
    return event.relay_decision != DecisionOn(event);
  // Entries of earlier builds tell the revision only. Without contact to a
  // leader, the newer settings may not come for long, and all callers are
  // served by those that are held.
  return session_.InContact(now);
}

// Hands the request to another entry. Returns false if there is none.
bool EntryNode::StartRelay(RequestRecord& record, Time now) {
  const EntryStatus* entry = SelectRelayEntry(record, now);
  if (entry == nullptr)
    return false;
  record.relay_entry = entry->id;
  record.relay_decision = DecisionOn(record.arrival);
  record.tried_entries.insert(entry->id);
  record.attempt_started = now;
  ++record.attempts;
  entry::StartRelay relay;
  relay.ticket = record.arrival.ticket;
  relay.entry = entry->id;
  relay.incarnation = entry->incarnation;
  relay.address = entry->address;
  relay.revision = session_.fleet()->revision;
  relay.decision = record.relay_decision;
  relay.execution = record.kind.execution;
  relay.timeout = record.deadline - now;
  relay.connect_timeout = std::min(
      services_.at(record.service).settings.connect_timeout, relay.timeout);
  AddLogRecord("request_relayed")
      .With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("entry", relay.entry)
      .With("revision", relay.revision)
      .With("number", record.attempts)
      .With("links", forwarding::LinkStateName(links_.state()))
      .With("left_ms", ToMillis(relay.timeout));
  actions_.relays.push_back(std::move(relay));
  return true;
}

void EntryNode::On(const RelayEnded& event, Time now) {
  const auto found = requests_.find(event.ticket);
  if (found == requests_.end())
    return;
  RequestRecord& record = found->second;
  const std::string entry = std::exchange(record.relay_entry, {});
  record.answer_bytes += static_cast<double>(event.answer_bytes);
  if (event.end == AttemptEnd::kAnswered) {
    services_.at(record.service)
        .RecordAnswerBytes(record.kind.name,
                           static_cast<double>(event.answer_bytes));
    EndRequest(event.ticket, RelayedAnswer{}, now);
    return;
  }
  const bool unavailable = event.end == AttemptEnd::kRefused ||
                           event.end == AttemptEnd::kNotConnected;
  if (unavailable && !event.has_older_settings)
    avoided_entries_[entry] = now + kAvoidEntryTime;
  const Outcome outcome = forwarding::OutcomeOf(event.end);
  record.may_have_run |= outcome != Outcome::kNotRun;
  ServiceState& service_state = services_.at(record.service);
  const bool may_repeat =
      event.end == AttemptEnd::kWithdrawn ||
      (unavailable ? service_state.retries.TryRetry(now)
                   : TryAcquireRetry(record, service_state, event.end, now));
  LogAttemptEnd(record, event.end, may_repeat, now);
  if (may_repeat && CanRelay(record, now) && StartRelay(record, now))
    return;
  Refuse(event.ticket, ErrorForRelayEnd(event.end), now);
}

// Hands the queued requests to other entries, or refuses them.
void EntryNode::RelayWaitingRequests(Time now) {
  std::vector<RequestTicket> waiting;
  for (const auto& [ticket, record] : requests_) {
    if (record.phase == RequestPhase::kWaiting)
      waiting.push_back(ticket);
  }
  for (const RequestTicket ticket : waiting) {
    RequestRecord& record = requests_.at(ticket);
    services_.at(record.service).queue.Remove(ticket);
    record.phase = RequestPhase::kRelaying;
    if (CanRelay(record, now) && StartRelay(record, now))
      continue;
    Refuse(ticket, ErrorForRelayEnd(AttemptEnd::kNotConnected), now);
  }
}

// Hands the repeatable requests that endpoints have got to other entries, as
// their answers can't arrive before the links are restored. Those that can't be
// handed over end, so that their callers can repeat them elsewhere.
void EntryNode::RelayRunningRequests(Time now) {
  std::vector<RequestTicket> running;
  for (const auto& [ticket, record] : requests_) {
    if (!record.endpoint.empty() && record.kind.repeatable())
      running.push_back(ticket);
  }
  for (const RequestTicket ticket : running) {
    RequestRecord& record = requests_.at(ticket);
    ServiceState& service_state = services_.at(record.service);
    const bool will_relay =
        CanRelay(record, now) &&
        TryAcquireRetry(record, service_state, AttemptEnd::kTimedOut, now);
    LogAttemptEnd(record, AttemptEnd::kTimedOut, will_relay, now);
    service_state.endpoints.OnAttemptEnd(record.endpoint,
                                         AttemptEnd::kCancelled, {}, now);
    actions_.cancellations.push_back({ticket});
    record.endpoint.clear();
    record.may_have_run = true;
    if (will_relay && StartRelay(record, now))
      continue;
    Refuse(ticket,
           {ErrorKind::kEndpointFailed,
            "the links of this instance to the endpoints were lost while the "
            "request was under way"},
           now);
  }
}

// Asks a part of the callers to connect anew when isolated entries return.
// Their callers have moved to this one and others, and keep their connections.
void EntryNode::SpreadCallers() {
  std::set<std::string> isolated;
  std::size_t usable = 0;
  std::size_t returned = 0;
  for (const EntryStatus& entry : session_.members()) {
    if (entry.isolated) {
      isolated.insert(entry.id);
      continue;
    }
    ++usable;
    returned += isolated_entries_.count(entry.id);
  }
  isolated_entries_ = std::move(isolated);
  if (returned == 0)
    return;
  actions_.recycled_connections =
      static_cast<double>(returned) / static_cast<double>(usable);
  AddLogRecord("callers_spread")
      .With("returned", returned)
      .With("entries", usable);
}

}  // namespace jacinth::entry
