#include <algorithm>
#include <utility>

#include "core/control/control_node.h"

namespace jacinth::control {
namespace {

/// Time for which an operator's call waits for a leader. Operators move on from
/// a replica that is silent for a second, and a redirect takes them one round
/// trip.
constexpr Duration kMaxCallWait = 700ms;
/// Number of calls that wait, which bounds the memory for their bodies.
constexpr std::size_t kMaxWaitingCalls = 32;
/// Heartbeats of the leader that a replica may miss before it takes the leader
/// to be gone.
constexpr int kMaxMissedHeartbeats = 3;

/// Time for which a new leader waits for a group that has accepted nothing yet
/// to grow: some machines may not have started.
constexpr Duration kMaxGrowth = 4s;

AdminTicket TicketOf(const std::variant<ChangeRequested, ViewRequested>& call) {
  return std::visit([](const auto& event) { return event.ticket; }, call);
}

}  // namespace

void ControlNode::On(const ChangeRequested& event, ClockReading clock) {
  ServeOrWait({event, clock.now + kMaxCallWait, false}, clock);
}

void ControlNode::On(const ViewRequested& event, ClockReading clock) {
  ServeOrWait({event, clock.now + kMaxCallWait, false}, clock);
}

bool ControlNode::CanServe(const WaitingCall& waiting, Time now) const {
  const auto* view = std::get_if<ViewRequested>(&waiting.call);
  if (view != nullptr && view->allow_stale)
    return true;
  // The log decides whether a change still applies, without the lease.
  const bool is_change = view == nullptr || view->for_change;
  if (is_change && IsGrowing(now))
    return false;
  return is_change && !waiting.needs_lease ? Leads() : HasLeaderLease(now);
}

// Returns true if this replica leads a new group that has fewer voters than it
// will have. What it acknowledged would be lost with fewer disks than the full
// group can lose.
bool ControlNode::IsGrowing(Time now) const {
  return Leads() && state_.revision() == 0 &&
         replica_->configuration().voters.size() <
             options_.replica.target_voters &&
         now < led_since_ + kMaxGrowth;
}

// Serves a call, redirects it to another leader, or keeps it until one of these
// is possible, at most until its deadline: a refusal would make the operator
// pause, for longer each time.
void ControlNode::ServeOrWait(WaitingCall waiting, ClockReading clock) {
  if (CanServe(waiting, clock.now)) {
    if (const auto* change = std::get_if<ChangeRequested>(&waiting.call))
      ServeChange(*change, waiting.deadline, clock);
    else
      actions_.replies.push_back({TicketOf(waiting.call), MakeView(clock.now)});
    return;
  }
  const bool may_wait = !storage_failed_ && clock.now < waiting.deadline &&
                        waiting_calls_.size() < kMaxWaitingCalls;
  if (may_wait && !HearsOtherLeader(clock.now)) {
    waiting_calls_.push_back(std::move(waiting));
    return;
  }
  Refuse(TicketOf(waiting.call), ErrorKind::kNotLeader,
         "this replica does not lead, or does not hold the leader lease, so "
         "its state may be outdated; send the call to the leader",
         clock.now);
}

void ControlNode::ServeWaitingCalls(ClockReading clock) {
  for (WaitingCall& waiting : std::exchange(waiting_calls_, {}))
    ServeOrWait(std::move(waiting), clock);
  ResolveAbandonedChanges(clock.now);
}

// Answers the changes that this replica proposed as a former leader. Until
// their deadline they may still be committed, or another leader found that
// knows their outcome.
void ControlNode::ResolveAbandonedChanges(Time now) {
  if (replica_ && replica_->role() == consensus::ReplicaRole::kLeader)
    return;
  const bool hears_leader = HearsOtherLeader(now);
  std::erase_if(pending_proposals_, [&](const auto& item) {
    const auto* change = std::get_if<PendingChange>(&item.second);
    if (change == nullptr)
      return false;
    if (hears_leader) {
      Refuse(change->ticket, ErrorKind::kNotLeader,
             "another replica leads since the change was proposed; send it "
             "there",
             now);
      return true;
    }
    if (now < change->deadline)
      return false;
    // The next leader may still commit the change.
    Refuse(change->ticket, ErrorKind::kOutcomeUnknown,
           "the leader changed before the change was committed; send it again "
           "with the same Idempotency-Key",
           now);
    return true;
  });
}

void ControlNode::AbandonProposals(bool keep_changes, Time now) {
  std::erase_if(pending_proposals_, [&](const auto& item) {
    const auto* change = std::get_if<PendingChange>(&item.second);
    if (change != nullptr && keep_changes)
      return false;
    if (change != nullptr) {
      Refuse(change->ticket, ErrorKind::kOutcomeUnknown,
             "the storage of this replica failed before the change was "
             "committed; send it again with the same Idempotency-Key",
             now);
    }
    return true;
  });
}

bool ControlNode::HasWaitingCalls() const {
  if (!waiting_calls_.empty())
    return true;
  const bool is_leader =
      replica_ && replica_->role() == consensus::ReplicaRole::kLeader;
  return !is_leader && !pending_proposals_.empty();
}

// Returns true if another replica leads and has been heard from lately.
bool ControlNode::HearsOtherLeader(Time now) const {
  if (!replica_ || replica_->role() != consensus::ReplicaRole::kFollower)
    return false;
  const Duration silence = now - replica_->last_leader_contact();
  return !replica_->leader().empty() &&
         silence < kMaxMissedHeartbeats * options_.replica.heartbeat;
}

}  // namespace jacinth::control
