#include <algorithm>
#include <set>
#include <utility>

#include "core/control/control_node.h"

namespace jacinth::control {
namespace {

using consensus::Formation;
using consensus::ReplicaRole;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

/// Interval between the probes that a replica without contact with a leader
/// sends.
constexpr Duration kRejoinProbeInterval = 500ms;
/// Number of election timeouts without contact with a leader before the first
/// probe.
constexpr int kRejoinElectionTimeouts = 3;
/// Index and term of the initial snapshot of a group.
constexpr std::uint64_t kInitialIndex = 1;
constexpr std::uint64_t kInitialTerm = 1;

}  // namespace

void ControlNode::OnPeerMessage(const PeerMessage& message,
                                ClockReading clock) {
  if (message.kind == PeerMessageKind::kProbe) {
    const bool has_log = replica_ && replica_->last_index() != 0;
    actions_.messages.push_back(
        {std::string(protocol::InstanceFromReplicaId(message.from)),
         consensus::MakeProbeReply(
             message, options_.replica.id, has_log,
             has_log ? replica_->configuration() : protocol::Configuration{},
             options_.replica.location)});
    const bool may_join =
        options_.open_membership ||
        std::find(options_.contacts.begin(), options_.contacts.end(),
                  protocol::InstanceFromReplicaId(message.from)) !=
            options_.contacts.end();
    if (replica_ && may_join)
      replica_->AdmitReplica(message.from, clock.now);
    if (formation_ && options_.open_membership)
      formation_->OnProbe(
          std::string(protocol::InstanceFromReplicaId(message.from)),
          clock.now);
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
    case Formation::Decision::kCreateGroup:
      CreateGroup(clock);
      return;
    case Formation::Decision::kJoinGroup:
      if (!replica_)
        replica_.emplace(options_.replica, consensus::ReplicaStart{},
                         clock.now);
      return;
  }
}

// A replica without contact with a leader may have been replaced while it was
// down. Probes the contacts and the known replicas; the leader among them
// admits it again.
void ControlNode::TickRejoin(ClockReading clock) {
  if (!replica_ || formation_ || clock.now < next_rejoin_probe_)
    return;
  next_rejoin_probe_ = clock.now + kRejoinProbeInterval;
  const Duration max_silence =
      kRejoinElectionTimeouts * options_.replica.election_timeout;
  const bool is_leader = replica_->role() == ReplicaRole::kLeader;
  if (is_leader || clock.now < replica_->last_leader_contact() + max_silence)
    return;
  std::set<std::string> probed(options_.contacts.begin(),
                               options_.contacts.end());
  for (const std::string& instance : ReplicaInstances())
    probed.insert(instance);
  probed.erase(
      std::string(protocol::InstanceFromReplicaId(options_.replica.id)));
  for (const std::string& instance : probed) {
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
    instances.emplace_back(protocol::InstanceFromReplicaId(id));
  for (const std::string& id : members.learners)
    instances.emplace_back(protocol::InstanceFromReplicaId(id));
  return instances;
}

void ControlNode::On(const ContactsChanged& event, ClockReading /*clock*/) {
  options_.contacts = event.contacts;
  if (formation_)
    formation_->SetContacts(event.contacts);
}

void ControlNode::CreateGroup(ClockReading clock) {
  consensus::WriteRequest write;
  write.id = 0;
  write.snapshot.emplace();
  write.snapshot->index = kInitialIndex;
  write.snapshot->term = kInitialTerm;
  write.snapshot->configuration = formation_->configuration();
  consensus::ReplicaStart start;
  const std::uint64_t term = replica_ ? replica_->term() + 1 : kInitialTerm;
  start.hard_state = {term, ""};
  start.snapshot = *write.snapshot;
  write.batch.hard_state = start.hard_state;
  // Write 0 precedes all writes of the replica, whose ids start at 1.
  actions_.writes.push_back(std::move(write));
  replica_.emplace(options_.replica, std::move(start), clock.now);
  formation_.reset();
}

}  // namespace jacinth::control
