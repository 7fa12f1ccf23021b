#include <algorithm>
#include <set>
#include <utility>

#include "core/control/control_node.h"

namespace jacinth::control {
namespace {

/// Interval at which changed slice owners are recorded in the log.
constexpr Duration kOwnerRecordInterval = 500ms;
/// Interval between rebalancings, over which the load of the slices is
/// averaged. Longer than the duration of most requests.
constexpr Duration kRebalanceInterval = 1s;

}  // namespace

void ControlNode::On(const EndpointsListed& event, ClockReading clock) {
  if (!event.is_complete) {
    TakeListedDrains(event.endpoints, clock);
    return;
  }
  if (!ServesLists(clock.now)) {
    TellStandbyList(event, clock.now);
    return;
  }
  ResetListsForTerm(clock);
  LogNewDrains(event.endpoints);
  catalog_.ApplyListing(event.endpoints, clock.now);
  list_read_at_ = clock.now - event.took;
  slices_.RetainOwners(SliceEndpoints(clock.now));
  ForgetDeparted(clock.now);
  PushLists(clock);
}

// Passes on the drains of a list that could be read only in part.
void ControlNode::TakeListedDrains(
    const std::vector<protocol::ListedEndpoint>& endpoints,
    ClockReading clock) {
  const std::vector<protocol::DrainReport> drains =
      protocol::ListedDrains(endpoints);
  if (drains.empty())
    return;
  if (ServesLists(clock.now)) {
    if (ApplyDrainReports(drains, clock.now))
      PushLists(clock);
    return;
  }
  for (const auto& [entry, asker] : standby_list_.Askers(clock.now)) {
    protocol::HeartbeatReply reply;
    reply.leader_hint = LeaderInstance();
    reply.drains = drains;
    SendToEntry(entry, std::move(reply));
  }
}

// Lets all entries act on the drains that one of them knows of, and gives the
// slices of these endpoints to others. Returns true if there are new ones.
bool ControlNode::ApplyDrainReports(
    const std::vector<protocol::DrainReport>& reports,
    Time now) {
  bool changed = false;
  for (const protocol::DrainReport& report : reports) {
    if (!catalog_.ApplyDrainReport(report))
      continue;
    changed = true;
    LogEvent("endpoint_drained")
        .With("endpoint", report.endpoint)
        .With("started_ms", report.started_ms);
  }
  if (changed)
    slices_.RetainOwners(SliceEndpoints(now));
  return changed;
}

// Returns true if this replica keeps the lists of entries. Begins only with the
// lease, but doesn't end when that lapses: versions of lists contain the term,
// so that entries ignore those of a replica that no longer leads.
bool ControlNode::ServesLists(Time now) const {
  if (!Leads() || registry_term_ != replica_->term())
    return false;
  return lists_term_ == registry_term_ || HasLeaderLease(now);
}

// Requires the leader lease, which guarantees that all owners recorded by
// earlier leaders have been applied.
void ControlNode::ResetListsForTerm(ClockReading clock) {
  if (lists_term_ == registry_term_)
    return;
  lists_term_ = registry_term_;
  actions_.list_endpoints = true;
  slices_.Reset(lists_term_, state_.SliceOwners());
  rate_shares_.Reset(lists_term_);
  std::vector<protocol::SuspectRequest> recorded;
  for (const auto& [fingerprint, item] : state_.suspects().items())
    recorded.push_back(item.request);
  suspects_.Reset(recorded, clock);
}

// Forgets the limits of endpoints that have gone or restarted, and the demand
// and the transfers of entries that are gone.
void ControlNode::ForgetDeparted(Time now) {
  std::map<protocol::EndpointKey, std::int64_t> started_ms;
  for (const protocol::ListedEndpoint& endpoint : catalog_.Endpoints(now))
    started_ms[{endpoint.service, endpoint.id}] = endpoint.started_ms;
  rate_shares_.RetainEndpoints(started_ms);
  std::set<std::string> entries;
  for (const protocol::EntryStatus& entry : registry_.Statuses())
    entries.insert(entry.id);
  rate_shares_.RetainEntries(entries);
  settings_sender_.RetainEntries(entries);
  std::erase_if(deliveries_, [&](const auto& item) {
    return entries.count(item.first) == 0;
  });
}

void ControlNode::AllocateRateShares(Time now) {
  if (registry_.Version(now) == 0)
    return;
  rate_shares_.Allocate(now);
  for (const RateLimitChange& change : rate_shares_.TakeChanges()) {
    log::Record& log_record = LogEvent("rate_limit_changed");
    log_record.With("service", change.key.service)
        .With("endpoint", change.key.endpoint);
    if (change.limit_per_s) {
      log_record.With("per_second", *change.limit_per_s)
          .With("sharers", change.sharers);
    }
  }
}

// Returns no shares until every live entry has had time to report what it knows
// to the leader of this term.
protocol::RateShareUpdate ControlNode::RateSharesFor(
    const std::string& entry,
    const EntryDelivery& delivery,
    Time now) const {
  if (registry_.Version(now) == 0)
    return {};
  return delivery.takes_share_changes
             ? rate_shares_.ChangesFor(entry, delivery.rate_shares)
             : rate_shares_.UpdateFor(entry, delivery.rate_shares);
}

bool ControlNode::IsFailureDomainDrained(const std::string& region,
                                         const std::string& domain) const {
  const auto drain = state_.tree().FindEffectiveValue(
      "region/" + region + "/failure_domain/" + domain, "drain");
  return drain && drain->value == "true";
}

// Returns the endpoints that may own slices: those that are not draining.
std::map<std::string, SliceEndpoint> ControlNode::SliceEndpoints(
    Time now) const {
  std::map<std::string, SliceEndpoint> slice_endpoints;
  for (const protocol::ListedEndpoint& endpoint : catalog_.Endpoints(now)) {
    const auto found =
        options_.failure_domain_regions.find(endpoint.failure_domain);
    const std::string region =
        found == options_.failure_domain_regions.end() ? "" : found->second;
    if (endpoint.draining ||
        IsFailureDomainDrained(region, endpoint.failure_domain))
      continue;
    slice_endpoints[endpoint.id] = {
        endpoint.service, region, std::max(1, endpoint.slots),
        endpoint.cold_for_ms == 0 &&
            !rate_shares_.IsLimited({endpoint.service, endpoint.id})};
  }
  return slice_endpoints;
}

void ControlNode::RebalanceSlices(Time now) {
  const Duration elapsed = now - last_rebalance_;
  if (elapsed < kRebalanceInterval)
    return;
  last_rebalance_ = now;
  const std::size_t moved =
      slices_.Rebalance(SliceEndpoints(now), elapsed, now);
  if (moved == 0)
    return;
  LogEvent("slices_rebalanced")
      .With("moved", moved)
      .With("slices", slices_.size());
}

// Records changed owners in the log, so that a new leader starts with owners
// that are warm, even after a power loss of all replicas.
void ControlNode::RecordSliceOwners(ClockReading clock) {
  if (clock.now < next_owner_record_)
    return;
  next_owner_record_ = clock.now + kOwnerRecordInterval;
  protocol::RecordOwners record{slices_.TakeUnrecordedOwners()};
  if (!record.owners.empty())
    ProposeCommand(PendingOwners{}, std::move(record), clock);
}

}  // namespace jacinth::control
