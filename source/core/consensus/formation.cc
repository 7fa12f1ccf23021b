#include "core/consensus/formation.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/consensus/voter_spread.h"

namespace jacinth::consensus {
namespace {

using protocol::InstanceFromReplicaId;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

constexpr Duration kProbeInterval = 200ms;
/// Time for which a founder that has heard all contacts waits for others.
constexpr Duration kMaxWaitForOthers = 1s;
/// Number of other instances that a founder asks whether they have a log.
constexpr std::size_t kMaxOthers = 64;

}  // namespace

Formation::Formation(std::string id,
                     std::vector<std::string> contacts,
                     bool may_create_group,
                     std::size_t target_voters,
                     protocol::Location location)
    : id_(std::move(id)),
      may_create_group_(may_create_group),
      target_voters_(target_voters),
      location_(std::move(location)) {
  SetContacts(std::move(contacts));
}

void Formation::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
  std::sort(contacts_.begin(), contacts_.end());
}

std::vector<PeerMessage> Formation::OnTick(Time now) {
  std::vector<PeerMessage> probes;
  last_tick_ = now;
  if (!others_until_ && IsFounder() && HasHeardAllContacts())
    others_until_ = now + kMaxWaitForOthers;
  if (now < next_probe_time_)
    return probes;
  next_probe_time_ = now + kProbeInterval;
  std::set<std::string> targets = group_instances_;
  targets.insert(contacts_.begin(), contacts_.end());
  targets.insert(others_.begin(), others_.end());
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

void Formation::OnProbe(const std::string& instance, Time now) {
  const bool may_fill_group = IsFounder() && contacts_.size() < target_voters_;
  if (!may_fill_group || others_.size() >= kMaxOthers || IsContact(instance))
    return;
  if (std::find(others_.begin(), others_.end(), instance) != others_.end())
    return;
  others_.push_back(instance);
  next_probe_time_ = now;
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
  instances_without_log_[std::string(InstanceFromReplicaId(message.from))] = {
      message.from, message.location};
}

Formation::Decision Formation::decision() const {
  if (group_exists_)
    return Decision::kJoinGroup;
  if (!IsFounder())
    return Decision::kWait;
  if (!HasHeardAllContacts())
    return Decision::kWait;
  const bool is_full = configuration().voters.size() >= target_voters_;
  const bool has_waited = others_until_ && last_tick_ >= *others_until_;
  return is_full || has_waited ? Decision::kCreateGroup : Decision::kWait;
}

protocol::Configuration Formation::configuration() const {
  std::vector<Candidate> candidates = Candidates();
  const std::size_t size = std::max(contacts_.size(), target_voters_);
  protocol::Configuration configuration;
  configuration.voters.push_back(id_);
  std::vector<protocol::Location> locations = {location_};
  while (configuration.voters.size() < size && !candidates.empty()) {
    auto best = candidates.begin();
    std::optional<VoterSpread> least;
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
      locations.push_back(it->location);
      const VoterSpread spread = MeasureSpread(locations);
      locations.pop_back();
      if (least && !(spread < *least))
        continue;
      least = spread;
      best = it;
    }
    configuration.voters.push_back(best->id);
    locations.push_back(best->location);
    candidates.erase(best);
  }
  std::sort(configuration.voters.begin(), configuration.voters.end());
  return configuration;
}

// Returns the replicas that have no log: contacts, and then others in the order
// in which they asked.
std::vector<Formation::Candidate> Formation::Candidates() const {
  std::vector<Candidate> candidates;
  for (const auto& [instance, candidate] : instances_without_log_) {
    if (IsContact(instance))
      candidates.push_back(candidate);
  }
  for (const std::string& instance : others_) {
    const auto found = instances_without_log_.find(instance);
    if (found != instances_without_log_.end() && !IsContact(instance))
      candidates.push_back(found->second);
  }
  return candidates;
}

bool Formation::IsContact(const std::string& instance) const {
  return std::binary_search(contacts_.begin(), contacts_.end(), instance);
}

bool Formation::HasHeardAllContacts() const {
  return std::all_of(contacts_.begin(), contacts_.end(),
                     [this](const std::string& contact) {
                       return contact == InstanceFromReplicaId(id_) ||
                              instances_without_log_.count(contact) != 0;
                     });
}

bool Formation::IsFounder() const {
  return may_create_group_ && !contacts_.empty() &&
         contacts_.front() == InstanceFromReplicaId(id_);
}

PeerMessage MakeProbeReply(const PeerMessage& probe,
                           const std::string& id,
                           bool has_log,
                           const protocol::Configuration& members,
                           const protocol::Location& location) {
  PeerMessage reply;
  reply.kind = PeerMessageKind::kProbeReply;
  reply.from = id;
  reply.to = probe.from;
  reply.granted = has_log;
  reply.configuration = members;
  reply.location = location;
  return reply;
}

}  // namespace jacinth::consensus
