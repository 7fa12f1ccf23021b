#include "core/control/control_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/wire/command_codec.h"

namespace jacinth::control {
namespace {

using consensus::ReplicaRole;
using protocol::Command;
using protocol::LogEntry;
using protocol::LogEntryKind;
using protocol::PeerMessage;

/// Interval between the steps of admitting replicas, and the longest interval
/// between two ticks.
constexpr Duration kAdmissionInterval = 100ms;
/// Shortest interval at which changed lists are pushed to entries.
constexpr Duration kMinPushInterval = 100ms;
/// Part of the interval for each entry, so that pushes to a large fleet leave
/// the leader time for its replicas.
constexpr Duration kPushIntervalPerEntry = 2ms;

}  // namespace

Result<ControlNode> ControlNode::Create(ControlOptions options,
                                        consensus::ReplicaStart start,
                                        ClockReading clock) {
  ControlNode node(std::move(options), clock);
  const bool has_log = start.snapshot.index != 0 || !start.entries.empty();
  if (start.snapshot.index != 0) {
    if (auto loaded = node.state_.Load(start.snapshot.state); !loaded)
      return tl::unexpected(loaded.error());
  }
  if (!has_log) {
    node.formation_.emplace(node.options_.replica.id, node.options_.contacts,
                            node.options_.may_create_group,
                            node.options_.replica.target_voters,
                            node.options_.replica.location);
    // With a term but no log, the replica may have voted before it received its
    // first entry, and that vote must be kept.
    if (start.hard_state.term == 0)
      return node;
  }
  node.replica_.emplace(node.options_.replica, std::move(start), clock.now);
  return node;
}

ControlNode::ControlNode(ControlOptions options, ClockReading clock)
    : options_(std::move(options)),
      registry_(options_.entry_timeout),
      last_proposal_(Hash64(options_.replica.id, options_.proposal_seed)),
      next_admission_(clock.now) {}

ControlActions ControlNode::Step(const ControlEvent& event,
                                 ClockReading clock) {
  std::visit([&](const auto& body) { On(body, clock); }, event);
  ProcessReplicaActions(clock);
  if (HasWaitingCalls()) {
    ServeWaitingCalls(clock);
    ProcessReplicaActions(clock);
  }
  AnswerSeekers(clock.now);
  LogStateChanges(clock.now);
  actions_.next_tick = clock.now + kAdmissionInterval;
  if (replica_)
    actions_.next_tick = std::min(actions_.next_tick, replica_->NextTickTime());
  if (!table_queue_.empty())
    actions_.next_tick = std::min(actions_.next_tick, next_table_);
  return std::exchange(actions_, {});
}

void ControlNode::On(const MessageReceived& event, ClockReading clock) {
  if (storage_failed_)
    return;
  if (const auto* peer = std::get_if<PeerMessage>(&event.envelope))
    OnPeerMessage(*peer, clock);
  else if (const auto* heartbeat =
               std::get_if<protocol::Heartbeat>(&event.envelope))
    OnHeartbeat(event.from, *heartbeat, clock);
  else if (const auto* claim =
               std::get_if<protocol::ClaimRequest>(&event.envelope))
    OnClaim(event.from, *claim, clock);
  else if (const auto* finish =
               std::get_if<protocol::FinishRequest>(&event.envelope))
    OnFinish(event.from, *finish, clock);
}

void ControlNode::On(const WritesSynced& event, ClockReading clock) {
  synced_ = std::max(synced_, event.id);
  if (replica_)
    replica_->OnSynced(event.id, clock.now);
}

void ControlNode::On(const StorageFailed& /*event*/, ClockReading clock) {
  storage_failed_ = true;
  deferred_messages_.clear();
  if (replica_)
    replica_->OnStorageFailure();
  AbandonProposals(/*keep_changes=*/false, clock.now);
}

void ControlNode::On(const Tick& /*event*/, ClockReading clock) {
  if (storage_failed_) {
    // There is no leadership to hand over.
    actions_.stopped = stop_deadline_.has_value();
    return;
  }
  TickFormation(clock);
  TickRejoin(clock);
  if (replica_)
    replica_->OnTick(clock.now);
  TickLeader(clock);
  const bool is_leader = replica_ && replica_->role() == ReplicaRole::kLeader;
  const bool is_done = !is_leader && !HasWaitingCalls();
  if (stop_deadline_ && (is_done || clock.now >= *stop_deadline_))
    actions_.stopped = true;
}

void ControlNode::On(const StopRequested& /*event*/, ClockReading clock) {
  if (stop_deadline_)
    return;
  stop_deadline_ = clock.now + 2 * options_.replica.election_timeout;
  if (replica_)
    replica_->TransferLeadership(clock.now);
}

void ControlNode::TickLeader(ClockReading clock) {
  const bool is_leader = replica_ && replica_->role() == ReplicaRole::kLeader;
  if (!is_leader) {
    AbandonProposals(/*keep_changes=*/true, clock.now);
    return;
  }
  if (!Leads())
    led_since_ = clock.now;
  if (clock.now >= next_admission_) {
    next_admission_ = clock.now + kAdmissionInterval;
    const std::vector<std::string> learners =
        replica_->configuration().learners;
    for (const std::string& learner : learners)
      replica_->AdmitReplica(learner, clock.now);
    replica_->DropSurplusVoter(clock.now);
    if (options_.open_membership)
      replica_->DropSilentLearner(clock.now);
  }
  if (registry_term_ != replica_->term())
    return;
  registry_.Expire(clock.now);
  if (!ServesLists(clock.now))
    return;
  ResetListsForTerm(clock);
  ServeTableQueue(clock.now);
  PushWholeLists(clock);
  if (clock.now >= next_push_) {
    next_push_ = clock.now + PushInterval();
    RebalanceSlices(clock.now);
    AllocateRateShares(clock.now);
    PushLists(clock);
    RecordSliceOwners(clock);
    RecordSuspects(clock);
  }
}

Duration ControlNode::PushInterval() const {
  return std::max(kMinPushInterval,
                  static_cast<int>(registry_.size()) * kPushIntervalPerEntry);
}

void ControlNode::ProcessReplicaActions(ClockReading clock) {
  if (replica_) {
    consensus::ReplicaActions replica_actions = replica_->TakeActions();
    if (replica_actions.restore) {
      AbandonProposals(/*keep_changes=*/true, clock.now);
      if (!state_.Load(replica_actions.restore->state))
        On(StorageFailed{}, clock);
    }
    // Queued before ApplyCommitted() is called, which may add the write of a
    // snapshot: writes must be queued in the order of their ids.
    for (consensus::WriteRequest& write : replica_actions.writes)
      actions_.writes.push_back(std::move(write));
    ApplyCommitted(replica_actions.committed, clock);
    for (consensus::DeferredPeerMessage& message : replica_actions.messages) {
      std::string to(protocol::InstanceFromReplicaId(message.message.to));
      deferred_messages_.push_back(
          {message.after_sync, {std::move(to), std::move(message.message)}});
    }
    if (replica_->role() == ReplicaRole::kLeader &&
        registry_term_ != replica_->term()) {
      registry_term_ = replica_->term();
      led_since_ = clock.now;
      registry_.Reset(registry_term_, clock.now);
      catalog_.Reset(registry_term_);
      settings_sender_.Reset();
      deliveries_.clear();
      table_queue_.clear();
      next_table_ = clock.now;
      next_whole_lists_ = clock.now;
      pushed_revision_ = 0;
    }
    PushSettings(clock);
  }
  std::erase_if(deferred_messages_, [&](DeferredMessage& deferred) {
    if (deferred.after > synced_)
      return false;
    actions_.messages.push_back(std::move(deferred.message));
    return true;
  });
}

void ControlNode::ApplyCommitted(const std::vector<LogEntry>& entries,
                                 ClockReading clock) {
  for (const LogEntry& entry : entries) {
    if (entry.kind != LogEntryKind::kCommand)
      continue;
    const auto command = wire::DecodeCommand(entry.payload);
    if (!command) {
      On(StorageFailed{}, clock);
      return;
    }
    CompleteProposal(command->proposal, state_.Apply(*command), clock.now);
  }
  if (entries.empty())
    return;
  const std::uint64_t applied = entries.back().index;
  const std::uint64_t kept = applied + 1 - replica_->first_index();
  if (kept < options_.snapshot_entries)
    return;
  replica_->Compact(applied, state_.Save());
  consensus::ReplicaActions replica_actions = replica_->TakeActions();
  for (consensus::WriteRequest& write : replica_actions.writes)
    actions_.writes.push_back(std::move(write));
}

}  // namespace jacinth::control
