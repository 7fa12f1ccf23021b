#include "core/control/control_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/wire/command_codec.h"

namespace jacinth::control {
namespace {

using consensus::Formation;
using consensus::ReplicaRole;
using protocol::Command;
using protocol::LogEntry;
using protocol::LogEntryKind;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

/// Time between requests for admission, and between steps of admitting.
constexpr Duration kAdmissionInterval = 100ms;
/// Time between requests of a replica that hears from no leader, and the
/// silence before the first, in election timeouts.
constexpr Duration kRejoinInterval = 500ms;
constexpr int kRejoinTimeouts = 3;
/// Time between pushes of changed lists to entries.
constexpr Duration kPushInterval = 100ms;
/// Time between records of the slices' owners in the log.
constexpr Duration kRecordInterval = 500ms;
/// Index and term of the snapshot that every founded group starts from.
constexpr std::uint64_t kFoundingIndex = 1;
constexpr std::uint64_t kFoundingTerm = 1;

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
                            node.options_.may_found);
    // A vote given before the first entry came must not be forgotten.
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
  Collect(clock);
  NoteBeliefs(clock.now);
  actions_.wake = clock.now + kAdmissionInterval;
  if (replica_)
    actions_.wake = std::min(actions_.wake, replica_->NextWake());
  return std::exchange(actions_, {});
}

void ControlNode::On(const MessageReceived& event, ClockReading clock) {
  if (storage_failed_)
    return;
  if (const auto* peer = std::get_if<PeerMessage>(&event.envelope))
    OnPeer(*peer, clock);
  else if (const auto* beat = std::get_if<protocol::Heartbeat>(&event.envelope))
    OnHeartbeat(event.from, *beat, clock);
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

void ControlNode::On(const StorageFailed& /*event*/, ClockReading /*clock*/) {
  storage_failed_ = true;
  held_.clear();
  if (replica_)
    replica_->OnStorageFailure();
  AbandonWaiters();
}

void ControlNode::On(const Tick& /*event*/, ClockReading clock) {
  if (storage_failed_)
    return;
  TickFormation(clock);
  TickRejoin(clock);
  if (replica_)
    replica_->OnTick(clock.now);
  TickLeader(clock);
  const bool leads = replica_ && replica_->role() == ReplicaRole::kLeader;
  if (stop_deadline_ && (!leads || clock.now >= *stop_deadline_))
    actions_.stopped = true;
}

void ControlNode::On(const StopRequested& /*event*/, ClockReading clock) {
  if (stop_deadline_)
    return;
  stop_deadline_ = clock.now + 2 * options_.replica.election_timeout;
  if (replica_)
    replica_->TransferLeadership(clock.now);
}

void ControlNode::OnPeer(const PeerMessage& message, ClockReading clock) {
  if (message.kind == PeerMessageKind::kProbe) {
    const bool has_log = replica_ && replica_->last_index() != 0;
    actions_.messages.push_back(
        {std::string(protocol::InstanceOf(message.from)),
         consensus::MakeProbeReply(
             message, options_.replica.id, has_log,
             has_log ? replica_->configuration() : protocol::Configuration{})});
    const bool known =
        options_.open_membership ||
        std::find(options_.contacts.begin(), options_.contacts.end(),
                  protocol::InstanceOf(message.from)) !=
            options_.contacts.end();
    if (replica_ && known)
      replica_->AdmitReplica(message.from, clock.now);
    return;
  }
  if (message.kind == PeerMessageKind::kProbeReply) {
    if (formation_)
      formation_->OnProbeReply(message);
    return;
  }
  if (replica_)
    replica_->OnMessage(message, clock.now);
}

void ControlNode::TickFormation(ClockReading clock) {
  if (!formation_)
    return;
  for (PeerMessage& probe : formation_->OnTick(clock.now)) {
    std::string instance = probe.to;
    actions_.messages.push_back({std::move(instance), std::move(probe)});
  }
  const bool member =
      replica_ && replica_->configuration().IsMember(options_.replica.id);
  if (member) {
    formation_.reset();
    return;
  }
  switch (formation_->decision()) {
    case Formation::Decision::kWait:
      return;
    case Formation::Decision::kFound:
      FoundGroup(clock);
      return;
    case Formation::Decision::kJoin:
      if (!replica_)
        replica_.emplace(options_.replica, consensus::ReplicaStart{},
                         clock.now);
      return;
  }
}

// A replica that hears from no leader may have been replaced while it was away:
// asks to be admitted again.
void ControlNode::TickRejoin(ClockReading clock) {
  if (!replica_ || formation_ || clock.now < next_rejoin_)
    return;
  next_rejoin_ = clock.now + kRejoinInterval;
  const Duration silence = kRejoinTimeouts * options_.replica.election_timeout;
  const bool leads = replica_->role() == ReplicaRole::kLeader;
  if (leads || clock.now < replica_->leader_contact() + silence)
    return;
  std::set<std::string> asked(options_.contacts.begin(),
                              options_.contacts.end());
  for (const std::string& instance : ReplicaInstances())
    asked.insert(instance);
  asked.erase(std::string(protocol::InstanceOf(options_.replica.id)));
  for (const std::string& instance : asked) {
    PeerMessage probe;
    probe.kind = PeerMessageKind::kProbe;
    probe.from = options_.replica.id;
    probe.to = instance;
    actions_.messages.push_back({instance, std::move(probe)});
  }
}

std::vector<std::string> ControlNode::ReplicaInstances() const {
  std::vector<std::string> instances;
  if (!replica_)
    return instances;
  const protocol::Configuration& members = replica_->configuration();
  for (const std::string& id : members.voters)
    instances.emplace_back(protocol::InstanceOf(id));
  for (const std::string& id : members.learners)
    instances.emplace_back(protocol::InstanceOf(id));
  return instances;
}

void ControlNode::On(const EndpointsListed& event, ClockReading clock) {
  if (!Leads(clock.now) || registry_term_ != replica_->term())
    return;
  BeginSlices();
  catalog_.Take(event.endpoints, clock.now);
  slices_.KeepOnly(UsableIds(event.endpoints));
  PushLists(clock.now);
}

// Called once the lease is held: only then is all applied that earlier leaders
// recorded.
void ControlNode::BeginSlices() {
  if (slices_term_ == registry_term_)
    return;
  slices_term_ = registry_term_;
  slices_.Reset(slices_term_, state_.SliceOwners());
}

// Endpoints that may own slices.
std::set<std::string> ControlNode::UsableIds(
    const std::vector<protocol::ListedEndpoint>& endpoints) const {
  std::set<std::string> ids;
  for (const protocol::ListedEndpoint& endpoint : endpoints) {
    const auto region = options_.domain_regions.find(endpoint.failure_domain);
    const bool drained =
        endpoint.draining ||
        (region != options_.domain_regions.end() &&
         IsDomainDrained(region->second, endpoint.failure_domain));
    if (!drained)
      ids.insert(endpoint.id);
  }
  return ids;
}

bool ControlNode::IsDomainDrained(const std::string& region,
                                  const std::string& domain) const {
  const auto drain = state_.tree().Effective(
      "region/" + region + "/failure_domain/" + domain, "drain");
  return drain && drain->value == "true";
}

// So that a new leader, or all of them after a loss of power, begin with the
// owners that are warm.
void ControlNode::RecordSlices(ClockReading clock) {
  if (clock.now < next_record_)
    return;
  next_record_ = clock.now + kRecordInterval;
  protocol::RecordOwners record{slices_.TakeUnrecorded()};
  if (!record.owners.empty())
    ProposeCommand(OwnersWaiter{}, std::move(record), clock);
}

void ControlNode::On(const ContactsChanged& event, ClockReading /*clock*/) {
  options_.contacts = event.contacts;
  if (formation_)
    formation_->SetContacts(event.contacts);
}

void ControlNode::FoundGroup(ClockReading clock) {
  consensus::WriteRequest write;
  write.id = 0;
  write.snapshot.emplace();
  write.snapshot->index = kFoundingIndex;
  write.snapshot->term = kFoundingTerm;
  write.snapshot->configuration = formation_->configuration();
  consensus::ReplicaStart start;
  const std::uint64_t term = replica_ ? replica_->term() + 1 : kFoundingTerm;
  start.hard_state = {term, ""};
  start.snapshot = *write.snapshot;
  write.batch.hard_state = start.hard_state;
  // Write 0 comes before all writes of the replica, which start at 1.
  actions_.writes.push_back(std::move(write));
  replica_.emplace(options_.replica, std::move(start), clock.now);
  formation_.reset();
}

void ControlNode::TickLeader(ClockReading clock) {
  const bool leads = replica_ && replica_->role() == ReplicaRole::kLeader;
  if (!leads) {
    AbandonWaiters();
    return;
  }
  if (clock.now >= next_admission_) {
    next_admission_ = clock.now + kAdmissionInterval;
    const std::vector<std::string> learners =
        replica_->configuration().learners;
    for (const std::string& learner : learners)
      replica_->AdmitReplica(learner, clock.now);
    if (options_.open_membership)
      replica_->DropSilentLearner(clock.now);
  }
  if (registry_term_ != replica_->term())
    return;
  registry_.Expire(clock.now);
  if (!Leads(clock.now))
    return;
  BeginSlices();
  if (clock.now >= next_push_) {
    next_push_ = clock.now + kPushInterval;
    PushLists(clock.now);
    RecordSlices(clock);
  }
}

void ControlNode::Collect(ClockReading clock) {
  if (replica_) {
    consensus::ReplicaActions taken = replica_->TakeActions();
    if (taken.restore) {
      AbandonWaiters();
      if (!state_.Load(taken.restore->state))
        On(StorageFailed{}, clock);
    }
    // Before applying, which may add the write of a snapshot.
    for (consensus::WriteRequest& write : taken.writes)
      actions_.writes.push_back(std::move(write));
    ApplyCommitted(taken.committed, clock);
    for (consensus::OutboundMessage& message : taken.messages) {
      std::string to(protocol::InstanceOf(message.message.to));
      held_.push_back(
          {message.after_sync, {std::move(to), std::move(message.message)}});
    }
    if (replica_->role() == ReplicaRole::kLeader &&
        registry_term_ != replica_->term()) {
      registry_term_ = replica_->term();
      registry_.Reset(registry_term_, clock.now);
      catalog_.Reset(registry_term_);
      held_versions_.clear();
      pushed_revision_ = 0;
    }
    PushSettings(clock);
  }
  std::erase_if(held_, [&](HeldMessage& held) {
    if (held.after > synced_)
      return false;
    actions_.messages.push_back(std::move(held.message));
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
    Resolve(command->proposal, state_.Apply(*command), clock.now);
  }
  if (entries.empty())
    return;
  const std::uint64_t applied = entries.back().index;
  const std::uint64_t kept = applied + 1 - replica_->first_index();
  if (kept < options_.snapshot_entries)
    return;
  replica_->Compact(applied, state_.Save());
  consensus::ReplicaActions taken = replica_->TakeActions();
  for (consensus::WriteRequest& write : taken.writes)
    actions_.writes.push_back(std::move(write));
}

}  // namespace jacinth::control
