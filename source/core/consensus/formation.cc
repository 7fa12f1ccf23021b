#include "core/consensus/formation.h"

#include <algorithm>
#include <utility>

namespace jacinth::consensus {
namespace {

using protocol::InstanceFromReplicaId;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

constexpr Duration kProbeInterval = 200ms;

}  // namespace

Formation::Formation(std::string id,
                     std::vector<std::string> contacts,
                     bool may_create_group)
    : id_(std::move(id)), may_create_group_(may_create_group) {
  SetContacts(std::move(contacts));
}

void Formation::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
  std::sort(contacts_.begin(), contacts_.end());
}

std::vector<PeerMessage> Formation::OnTick(Time now) {
  std::vector<PeerMessage> probes;
  if (now < next_probe_time_)
    return probes;
  next_probe_time_ = now + kProbeInterval;
  std::set<std::string> targets = group_instances_;
  targets.insert(contacts_.begin(), contacts_.end());
  for (const std::string& instance : targets) {
    if (instance == InstanceFromReplicaId(id_))
      continue;
    PeerMessage probe;
    probe.kind = PeerMessageKind::kProbe;
    probe.from = id_;
    probe.to = instance;
    probes.push_back(std::move(probe));
  }
  return probes;
}

void Formation::OnProbeReply(const PeerMessage& message) {
  if (message.to != id_)
    return;
  if (message.granted) {
    group_exists_ = true;
    for (const std::string& voter : message.configuration.voters)
      group_instances_.emplace(InstanceFromReplicaId(voter));
    return;
  }
  instances_without_log_[std::string(InstanceFromReplicaId(message.from))] =
      message.from;
}

Formation::Decision Formation::decision() const {
  if (group_exists_)
    return Decision::kJoinGroup;
  if (!IsFounder())
    return Decision::kWait;
  const std::size_t other_contacts = contacts_.size() - 1;
  return instances_without_log_.size() == other_contacts
             ? Decision::kCreateGroup
             : Decision::kWait;
}

protocol::Configuration Formation::configuration() const {
  protocol::Configuration configuration;
  configuration.voters.push_back(id_);
  for (const auto& [instance, id] : instances_without_log_)
    configuration.voters.push_back(id);
  std::sort(configuration.voters.begin(), configuration.voters.end());
  return configuration;
}

bool Formation::IsFounder() const {
  return may_create_group_ && !contacts_.empty() &&
         contacts_.front() == InstanceFromReplicaId(id_);
}

PeerMessage MakeProbeReply(const PeerMessage& probe,
                           const std::string& id,
                           bool has_log,
                           const protocol::Configuration& members) {
  PeerMessage reply;
  reply.kind = PeerMessageKind::kProbeReply;
  reply.from = id;
  reply.to = probe.from;
  reply.granted = has_log;
  reply.configuration = members;
  return reply;
}

}  // namespace jacinth::consensus
