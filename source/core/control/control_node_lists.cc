#include <algorithm>
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
  if (!HasLeaderLease(clock.now) || registry_term_ != replica_->term())
    return;
  ResetSlicesForTerm();
  catalog_.ApplyListing(event.endpoints, clock.now);
  slices_.RetainOwners(SliceEndpoints(clock.now));
  PushLists(clock.now);
}

// Requires the leader lease, which guarantees that all owners recorded by
// earlier leaders have been applied.
void ControlNode::ResetSlicesForTerm() {
  if (slices_term_ == registry_term_)
    return;
  slices_term_ = registry_term_;
  slices_.Reset(slices_term_, state_.SliceOwners());
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
    slice_endpoints[endpoint.id] = {endpoint.service, region,
                                    std::max(1, endpoint.slots),
                                    endpoint.cold_for_ms == 0};
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

void ControlNode::PushLists(Time now) {
  for (const protocol::EntryStatus& entry : registry_.Statuses()) {
    ListVersions& sent = sent_versions_[entry.id];
    protocol::HeartbeatReply reply;
    reply.endpoints = catalog_.UpdateFor(sent.endpoints, now);
    reply.slices = slices_.UpdateFor(sent.slices);
    if (reply.endpoints.version == 0 && reply.slices.version == 0)
      continue;
    reply.leader = true;
    reply.leader_hint = LeaderInstance();
    // If this message is lost, the versions in the entry's next heartbeat
    // replace these.
    sent = {catalog_.version(), slices_.version()};
    SendToEntry(entry.id, std::move(reply));
  }
}

}  // namespace jacinth::control
