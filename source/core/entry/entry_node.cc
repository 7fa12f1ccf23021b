#include "core/entry/entry_node.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::entry {

/// What a service gets beside its own settings.
struct ServiceParts {
  /// Kinds of the routes that target it.
  std::vector<const settings::KindSettings*> kinds;
  /// Its endpoints on the platform's list.
  std::vector<const protocol::ListedEndpoint*> endpoints;
};

namespace {

/// Time between ticks, which bounds the delay in detecting an expired deadline.
constexpr Duration kTickInterval = 20ms;
/// Age of what the control role tells of the list after which an entry reads it
/// from the platform, for all changes but drains, which may come later.
constexpr Duration kMaxWholeListAge = 5s;
/// Time for which an entry that has settings waits for its first list: a leader
/// that has just been elected has to read the list first.
constexpr Duration kFirstListWait = 3s;
/// Time after which an entry that has no endpoints isn't starting any more.
constexpr Duration kMaxStartTime = 60s;
/// Minimum time between two reads of the list.
constexpr Duration kMinEndpointListInterval = 1s;
/// Number of entries that may read the list as often as that. With more, the
/// interval grows, as the list is longer too and all share its limit of calls.
constexpr std::size_t kMaxFrequentListReaders = 16;
constexpr Duration kListIntervalPerEntry = 100ms;
/// Minimum number of entries that a limit is divided among, as the member list
/// may be incomplete.
constexpr std::size_t kMinAssumedEntries = 8;
/// Number of entries that limits are divided among before the first member list
/// is received, such as after a restart of the whole fleet: more than a
/// deployment has.
constexpr std::size_t kMaxAssumedEntries = 1'024;
/// Retries allowed beyond the budget's percentage if the fleet limits state
/// none.
constexpr int kDefaultRetryReserve = 10;
constexpr double kPercent = 100;

/// Start of the last process at each address, in Unix milliseconds.
using LastStarts = std::map<std::string_view, std::int64_t>;

// Leaves out endpoints of services that the settings don't name: others may
// write such entries into the platform's list.
LastStarts FindLastStarts(
    const std::map<std::string, protocol::ListedEndpoint>& endpoints,
    const settings::FleetSettings& fleet) {
  LastStarts last_starts;
  for (const auto& [id, descriptor] : endpoints) {
    if (fleet.services.count(descriptor.service) == 0)
      continue;
    std::int64_t& last = last_starts[descriptor.address];
    last = std::max(last, descriptor.started_ms);
  }
  return last_starts;
}

// Takes endpoints out of use whose address another process has taken: the list
// shows an endpoint that has ended for some time. That process may be in
// another region.
void DrainReplaced(const LastStarts& last_starts,
                   std::vector<settings::EndpointSettings>& endpoints) {
  for (settings::EndpointSettings& endpoint : endpoints) {
    const auto last = last_starts.find(endpoint.address);
    const bool is_replaced = endpoint.started_ms != 0 &&
                             last != last_starts.end() &&
                             endpoint.started_ms < last->second;
    endpoint.drained |= is_replaced;
  }
}

// Returns the parts of each service that has any. They refer to the arguments.
std::map<std::string_view, ServiceParts> CollectServiceParts(
    const settings::FleetSettings& fleet,
    const std::map<std::string, protocol::ListedEndpoint>& endpoints) {
  std::map<std::string_view, ServiceParts> parts_by_service;
  for (const auto& [host, routes] : fleet.routes) {
    for (const settings::RouteSettings& route : routes) {
      for (const settings::RouteShare& share : route.shares) {
        auto& kinds = parts_by_service[share.service].kinds;
        // A route may name a service more than once.
        if (kinds.empty() || kinds.back() != &route.kind)
          kinds.push_back(&route.kind);
      }
    }
  }
  for (const auto& [id, descriptor] : endpoints)
    parts_by_service[descriptor.service].endpoints.push_back(&descriptor);
  return parts_by_service;
}

// Returns what an instance reports with its first heartbeat.
protocol::EntryStatus InitialStatus(const EntryOptions& options) {
  protocol::EntryStatus status = options.self;
  status.starting = options.can_list_endpoints;
  status.isolated = status.starting;
  return status;
}

}  // namespace

EntryNode::EntryNode(EntryOptions options)
    : options_(std::move(options)),
      session_(InitialStatus(options_),
               options_.heartbeat,
               options_.control_timeout),
      ceilings_(options_.max_requests),
      bandwidth_(options_.bandwidth) {
  session_.SetContacts(options_.contacts);
}

EntryActions EntryNode::Step(const EntryEvent& event, Time now) {
  if (!started_)
    started_ = now;
  std::visit([&](const auto& body) { On(body, now); }, event);
  RunDueWork(now);
  AnnounceIsolation(now);
  LogStateChanges(now);
  for (protocol::Envelope& message : claim_client_.CollectDueMessages(now))
    actions_.messages.push_back({session_.leader(), std::move(message)});
  actions_.next_tick = now + kTickInterval;
  return std::exchange(actions_, {});
}

// Puts what was received in force, and then moves, relays and dispatches queued
// requests. Handlers only make this due: within them, it would send by settings
// that have been replaced, or end requests whose records they use.
void EntryNode::RunDueWork(Time now) {
  ApplyFleetSettings(now);
  if (std::exchange(moved_revision_, fleet_revision_) != fleet_revision_)
    MoveWaitingRequests(now);
  OnLinkStateChange(now);
  for (auto& [name, service_state] : services_) {
    if (std::exchange(service_state.dispatch_due, false))
      DispatchRequests(service_state, now);
  }
}

void EntryNode::On(const MessageReceived& event, Time now) {
  if (const auto* reply =
          std::get_if<protocol::HeartbeatReply>(&event.envelope)) {
    const bool changed = session_.OnReply(*reply, now);
    ApplyRateShares(*reply, now);
    ApplySuspects(*reply, now);
    AskForSettings(now);
    if (!changed)
      return;
    SpreadCallers();
    absent_entries_.Update(session_.members(), now);
    ApplyFleetSettings(now);
    PublishSnapshot();
    return;
  }
  if (const auto* claim = std::get_if<protocol::ClaimReply>(&event.envelope)) {
    OnClaimReply(*claim, now);
    return;
  }
  if (const auto* finish = std::get_if<protocol::FinishReply>(&event.envelope))
    claim_client_.OnFinishReply(*finish);
}

void EntryNode::On(const Tick& /*event*/, Time now) {
  if (auto heartbeat = session_.OnTick(now)) {
    heartbeat->rate_limits = TakeRateLimitReports(heartbeat->sequence, now);
    AddQuarantineReports(*heartbeat, now);
    heartbeat->drains = TakeDrainReports(now);
    SendHeartbeat(*heartbeat, now);
  }
  if (const auto question = session_.TakeQuestion(now)) {
    for (const std::string& contact : session_.StandbyContacts())
      actions_.messages.push_back({contact, *question});
  }
  if (absent_entries_.Expire(now))
    PublishSnapshot();
  AskForSettings(now);
  MaybeListEndpoints(now);
  RefuseExpired(now);
  for (auto& [name, service_state] : services_) {
    for (std::string& endpoint : service_state.endpoints.DueProbes(now)) {
      const settings::EndpointSettings* descriptor =
          service_state.endpoints.Find(endpoint);
      actions_.probes.push_back(
          {name, std::move(endpoint), descriptor->address,
           service_state.settings.health_path, descriptor->incarnation,
           /*tests_links=*/false, descriptor->started_ms});
    }
    RefuseUnservable(service_state, now);
    service_state.dispatch_due = true;
  }
  CheckLinks(now);
  AdvanceStop(now);
}

void EntryNode::On(const ProbeEnded& event, Time now) {
  const auto service_state = services_.find(event.service);
  if (service_state != services_.end()) {
    OnNotices(service_state->second, event.endpoint, event.process,
              event.notices, now);
  }
  if (event.tests_links) {
    links_.OnProbeEnd(event.link_end, now);
    return;
  }
  if (service_state == services_.end())
    return;
  service_state->second.endpoints.OnProbeEnd(event.endpoint, event.end, now);
  service_state->second.dispatch_due = true;
}

void EntryNode::On(const EndpointsListed& event, Time now) {
  if (!event.is_complete) {
    session_.ApplyDrains(protocol::ListedDrains(event.endpoints));
    return;
  }
  // An up-to-date list from the control role takes precedence.
  const bool is_older = now - event.took <= session_.endpoints_confirmed_at();
  const bool leader_is_fresh =
      session_.InContact(now) &&
      now < session_.endpoints_confirmed_at() + session_.MaxDrainsAge();
  if (is_older || leader_is_fresh)
    return;
  session_.ApplyEndpointList(event.endpoints, event.took, now);
}

void EntryNode::On(const ContactsChanged& event, Time /*now*/) {
  session_.SetContacts(event.contacts);
}

void EntryNode::SendHeartbeat(const protocol::Heartbeat& heartbeat, Time now) {
  if (session_.IsSearching(now)) {
    for (const std::string& contact : session_.TakeAskedContacts())
      actions_.messages.push_back({contact, heartbeat});
  } else {
    actions_.messages.push_back({session_.leader(), heartbeat});
  }
  const bool asks_for_drains =
      session_.MissesReply(now) && !session_.endpoints().empty();
  if (!asks_for_drains)
    return;
  protocol::Heartbeat question = heartbeat;
  question.claims.clear();
  question.uses.clear();
  session_.AddEndpointDigest(question);
  for (const std::string& contact : session_.StandbyContacts())
    actions_.messages.push_back({contact, question});
}

// Asks replicas that don't lead for newer settings while the leader doesn't
// answer, or what it sends doesn't arrive.
void EntryNode::AskForSettings(Time now) {
  for (auto& [contact, question] : session_.TakeSettingsQuestions(now))
    actions_.messages.push_back({std::move(contact), std::move(question)});
}

// Reads the endpoint list from the platform while the control role provides no
// up-to-date one. Random jitter spreads the reads of the entries over time.
void EntryNode::MaybeListEndpoints(Time now) {
  if (!options_.can_list_endpoints || now < next_endpoint_list_)
    return;
  const std::size_t members = session_.members().size();
  const Duration interval =
      kMinEndpointListInterval +
      static_cast<int>(members - std::min(members, kMaxFrequentListReaders)) *
          kListIntervalPerEntry;
  const std::uint64_t hash =
      Hash64(options_.self.id,
             static_cast<std::uint64_t>(now.time_since_epoch().count()));
  const auto jitter = Duration(static_cast<std::int64_t>(
      hash % static_cast<std::uint64_t>(interval.count())));
  // Without settings, no request can be served, and the leader that sends the
  // first ones sends the list as well.
  const bool is_fresh =
      session_.fleet() == nullptr ||
      (!AwaitsEndpoints() &&
       now < session_.drains_confirmed_at() + session_.MaxDrainsAge() &&
       now < session_.endpoints_confirmed_at() +
                 std::max(kMaxWholeListAge, session_.MaxDrainsAge()));
  if (is_fresh) {
    endpoint_list_due_.reset();
    next_endpoint_list_ = now + kMinEndpointListInterval;
    return;
  }
  if (!endpoint_list_due_) {
    // A leader that has just been elected has to read the list first.
    const Duration wait = AwaitsEndpoints() ? kFirstListWait : Duration{0};
    endpoint_list_due_ = now + wait + jitter;
  }
  if (now < *endpoint_list_due_)
    return;
  endpoint_list_due_ = now + interval + jitter;
  actions_.list_endpoints = true;
}

bool EntryNode::AwaitsEndpoints() const {
  return options_.can_list_endpoints && !session_.HasEndpointList();
}

// Keeps callers away from an instance that can't forward their requests.
void EntryNode::AnnounceIsolation(Time now) {
  const bool awaits_endpoints = AwaitsEndpoints();
  const bool starting = awaits_endpoints && now < *started_ + kMaxStartTime;
  const bool isolated =
      links_.state() == forwarding::LinkState::kLost || awaits_endpoints;
  const protocol::EntryStatus& self = session_.self();
  if (isolated == self.isolated && starting == self.starting)
    return;
  session_.SetIsolated(isolated);
  session_.SetStarting(starting);
  PublishSnapshot();
}

void EntryNode::ApplyFleetSettings(Time now) {
  const auto& fleet = session_.fleet();
  const bool is_unchanged =
      fleet == nullptr || (fleet->revision == fleet_revision_ &&
                           endpoint_changes_ == session_.endpoint_changes() &&
                           members_version_ == session_.members_version());
  if (is_unchanged)
    return;
  const bool is_new_revision = fleet->revision != fleet_revision_;
  if (is_new_revision)
    client_map_ = steering::BuildClientMap(*fleet);
  LogUpdates(now);
  fleet_revision_ = fleet->revision;
  endpoint_changes_ = session_.endpoint_changes();
  members_version_ = session_.members_version();
  std::size_t endpoint_count = 0;
  auto parts_by_service = CollectServiceParts(*fleet, session_.endpoints());
  const LastStarts last_starts = FindLastStarts(session_.endpoints(), *fleet);
  const forwarding::SenderSelection senders = KnownSenders();
  warmup_senders_.Set(senders.entry_count() != 0
                          ? senders
                          : forwarding::SenderSelection::OfUnknownFleet(
                                options_.self.id, kMaxAssumedEntries),
                      now);
  for (const auto& [name, service] : fleet->services) {
    ServiceState& service_state = services_[name];
    settings::ServiceSettings service_settings =
        BuildServiceSettings(service, parts_by_service[name], now);
    DrainReplaced(last_starts, service_settings.endpoints);
    service_state.Update(std::move(service_settings), now);
    endpoint_count += service_state.settings.endpoints.size();
    ApplyFleetLimits(senders, service_state);
    service_state.endpoints.SetRateShares(RateSharesOf(name), now);
  }
  links_.SetEndpointCount(endpoint_count);
  for (auto& [name, service_state] : services_) {
    if (fleet->services.count(name) == 0)
      service_state.MarkRemoved(now);
  }
  for (const auto& [name, service] : fleet->services)
    services_.at(name).dispatch_due = true;
}

// Returns the service's settings with the kinds of the routes that target it
// and the endpoints listed by the platform.
settings::ServiceSettings EntryNode::BuildServiceSettings(
    const settings::ServiceSettings& service,
    const ServiceParts& parts,
    Time now) const {
  settings::ServiceSettings result = service;
  result.kinds.reserve(result.kinds.size() + parts.kinds.size());
  for (const settings::KindSettings* kind : parts.kinds)
    result.kinds.push_back(*kind);
  result.endpoints.reserve(result.endpoints.size() + parts.endpoints.size());
  for (const protocol::ListedEndpoint* descriptor : parts.endpoints)
    result.endpoints.push_back(BuildEndpointSettings(*descriptor, now));
  return result;
}

settings::EndpointSettings EntryNode::BuildEndpointSettings(
    const protocol::ListedEndpoint& descriptor,
    Time now) const {
  settings::EndpointSettings endpoint;
  endpoint.name = descriptor.id;
  endpoint.incarnation = descriptor.id;
  endpoint.started_ms = descriptor.started_ms;
  endpoint.address = descriptor.address;
  endpoint.failure_domain = descriptor.failure_domain;
  const auto region =
      options_.failure_domain_regions.find(descriptor.failure_domain);
  if (region != options_.failure_domain_regions.end())
    endpoint.region = region->second;
  endpoint.slots = descriptor.slots;
  endpoint.remaining_warmup = session_.RemainingColdTime(descriptor.id, now);
  const bool domain_drained = session_.fleet()->drained_failure_domains.count(
                                  descriptor.failure_domain) != 0;
  endpoint.drained = descriptor.draining || domain_drained;
  return endpoint;
}

// Configures this entry's share of the limits that apply to all entries
// together.
void EntryNode::ApplyFleetLimits(const forwarding::SenderSelection& senders,
                                 ServiceState& service_state) const {
  const settings::FleetLimits& limits = options_.limits;
  const std::size_t members = session_.members().size();
  if (limits.retry_ratio > 0) {
    const auto entry_count = members != 0
                                 ? std::max(members, kMinAssumedEntries)
                                 : kMaxAssumedEntries;
    const auto reserve = limits.retry_reserve / static_cast<int>(entry_count);
    service_state.retries.Configure(limits.retry_ratio, reserve,
                                    limits.retry_window);
  } else {
    service_state.retries.Configure(
        service_state.settings.retry_budget_percent / kPercent,
        kDefaultRetryReserve, limits.retry_window);
  }
  service_state.endpoints.SetSenders(senders);
  if (service_state.settings.warmup_per_s <= 0)
    return;
  const double max_rate =
      service_state.settings.warmup_per_s * limits.warmup_factor +
      limits.warmup_slack;
  service_state.endpoints.SetWarmupGate(
      forwarding::WarmupGate(warmup_senders_, max_rate));
}

// Returns the live entries, as far as they are known.
forwarding::SenderSelection EntryNode::KnownSenders() const {
  std::vector<std::string> entries;
  for (const protocol::EntryStatus& member : session_.members())
    entries.push_back(member.id);
  return {options_.self.id, std::move(entries)};
}

void EntryNode::PublishSnapshot() {
  auto snapshot = std::make_shared<steering::SteeringSnapshot>();
  snapshot->fleet = session_.fleet();
  snapshot->clients = client_map_;
  snapshot->members = session_.members();
  snapshot->absent_entries = absent_entries_.entries();
  snapshot->self = session_.self();
  snapshot->contact_until = session_.contact_until();
  snapshot->is_outdated = session_.IsOutdated();
  snapshot->awaits_endpoints = AwaitsEndpoints();
  actions_.snapshot = std::move(snapshot);
}

}  // namespace jacinth::entry
