#include "core/entry/control_session.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/settings/tree_validation.h"

namespace jacinth::entry {
namespace {

using protocol::Heartbeat;
using protocol::HeartbeatReply;
using protocol::SettingsUpdate;

/// How much faster heartbeats are before the first settings.
constexpr int kFirstSettingsHaste = 3;
/// Heartbeats without a leader's reply after which all replicas are asked.
constexpr int kSearchHeartbeats = 3;
constexpr std::size_t kMaxContacts = 32;
/// Time in which claims are gathered before they are told.
constexpr Duration kClaimDelay = 40ms;

}  // namespace

ControlSession::ControlSession(protocol::EntryStatus self,
                               Duration heartbeat,
                               Duration timeout)
    : self_(std::move(self)), heartbeat_(heartbeat), timeout_(timeout) {}

std::optional<Heartbeat> ControlSession::OnTick(Time now) {
  if (now < next_heartbeat_)
    return std::nullopt;
  // Without settings nothing can be served: whoever leads next is asked soon.
  next_heartbeat_ =
      now + (fleet_ == nullptr ? heartbeat_ / kFirstSettingsHaste : heartbeat_);
  ++sequence_;
  sent_.push_back({sequence_, now});
  while (sent_.front().sent + timeout_ < now)
    sent_.pop_front();
  Heartbeat heartbeat;
  heartbeat.status = self_;
  heartbeat.members_version = members_.version;
  heartbeat.sequence = sequence_;
  heartbeat.endpoints_version = endpoints_version_;
  heartbeat.slices_version = slices_.version();
  heartbeat.claims = slices_.TakeClaims();
  heartbeat.uses = slices_.TakeUses();
  return heartbeat;
}

bool ControlSession::OnReply(const HeartbeatReply& reply, Time now) {
  for (const std::string& replica : reply.replicas)
    AddContact(replica);
  if (!reply.leader)
    return false;
  const auto sent = SentTime(reply.sequence);
  const bool vouched = sent && now < *sent + timeout_;
  if (!vouched && fleet_ == nullptr)
    return false;
  bool changed = false;
  if (vouched) {
    leader_ = reply.leader_hint;
    vouched_at_ = now;
    if (endpoints_version_ != 0)
      endpoints_at_ = now;
    const Time until = *sent + timeout_;
    changed |= until > contact_until_;
    contact_until_ = std::max(contact_until_, until);
  }
  if (reply.update.revision > self_.revision)
    changed |= TakeSettings(reply.update);
  if (vouched && reply.members.version != 0 &&
      reply.members.version != members_.version) {
    members_ = reply.members;
    changed = true;
  }
  slices_.Take(reply.slices);
  if (TakeEndpoints(reply.endpoints, now)) {
    endpoints_at_ = now;
    changed = true;
  }
  return changed;
}

void ControlSession::HastenHeartbeat(Time now) {
  next_heartbeat_ = std::min(next_heartbeat_, now + kClaimDelay);
}

bool ControlSession::IsSearching(Time now) const {
  return leader_.empty() || now > vouched_at_ + kSearchHeartbeats * heartbeat_;
}

void ControlSession::SetContacts(std::vector<std::string> contacts) {
  contacts_ = std::move(contacts);
}

void ControlSession::AddContact(const std::string& instance) {
  if (std::find(contacts_.begin(), contacts_.end(), instance) !=
      contacts_.end())
    return;
  contacts_.push_back(instance);
  if (contacts_.size() > kMaxContacts)
    contacts_.erase(contacts_.begin());
}

void ControlSession::TakeListed(
    const std::vector<protocol::ListedEndpoint>& list,
    Time now) {
  endpoints_at_ = now;
  // The leader's next update must be a whole list.
  endpoints_version_ = 0;
  std::set<std::string> listed;
  for (const protocol::ListedEndpoint& endpoint : list) {
    listed.insert(endpoint.id);
    if (SetEndpoint(endpoint, now))
      ++endpoint_changes_;
  }
  const std::size_t before = endpoints_.size();
  ForgetUnlisted(listed);
  if (endpoints_.size() != before)
    ++endpoint_changes_;
}

void ControlSession::ForgetUnlisted(const std::set<std::string>& listed) {
  const auto unlisted = [&](const auto& item) {
    return listed.count(item.first) == 0;
  };
  std::erase_if(endpoints_, unlisted);
  std::erase_if(cold_until_, unlisted);
}

Duration ControlSession::ColdFor(const std::string& id, Time now) const {
  const auto found = cold_until_.find(id);
  return found == cold_until_.end()
             ? Duration{0}
             : std::max(Duration{0}, found->second - now);
}

// An endpoint that drains doesn't come back under the same start.
bool ControlSession::SetEndpoint(const protocol::ListedEndpoint& endpoint,
                                 Time now) {
  protocol::ListedEndpoint& kept = endpoints_[endpoint.id];
  protocol::ListedEndpoint next = endpoint;
  if (kept.started_ms == next.started_ms && kept.address == next.address)
    next.draining |= kept.draining;
  if (kept == next)
    return false;
  cold_until_[endpoint.id] =
      now + std::chrono::milliseconds(endpoint.cold_for_ms);
  kept = std::move(next);
  return true;
}

bool ControlSession::TakeEndpoints(const protocol::EndpointUpdate& update,
                                   Time now) {
  if (update.version == 0 || update.version <= endpoints_version_)
    return false;
  if (update.base != 0 && update.base != endpoints_version_)
    return false;
  endpoints_version_ = update.version;
  if (update.base == 0) {
    std::set<std::string> listed;
    for (const protocol::ListedEndpoint& endpoint : update.changed)
      listed.insert(endpoint.id);
    ForgetUnlisted(listed);
  }
  for (const protocol::ListedEndpoint& endpoint : update.changed)
    SetEndpoint(endpoint, now);
  for (const std::string& id : update.removed) {
    endpoints_.erase(id);
    cold_until_.erase(id);
  }
  ++endpoint_changes_;
  return true;
}

void ControlSession::SetDraining() {
  self_.draining = true;
  next_heartbeat_ = Time{};
}

std::optional<Time> ControlSession::SentTime(std::uint64_t sequence) const {
  for (const SentHeartbeat& heartbeat : sent_) {
    if (heartbeat.sequence == sequence)
      return heartbeat.sent;
  }
  return std::nullopt;
}

bool ControlSession::TakeSettings(const SettingsUpdate& update) {
  settings::Tree tree;
  if (update.base_revision != 0) {
    if (update.base_revision != self_.revision)
      return false;
    tree = tree_;
    for (const protocol::BranchChange& change : update.changes)
      tree.Replace(change.branch, change.values);
    if (Hash64(tree.ToIni()) != update.checksum)
      return false;
  } else {
    if (Hash64(update.text) != update.checksum)
      return false;
    settings::ParsedTree parsed = settings::ParseTree(update.text);
    if (!parsed.faults.empty())
      return false;
    tree = std::move(parsed.tree);
  }
  fleet_ = settings::BuildFleetSettings(tree, update.revision);
  tree_ = std::move(tree);
  self_.revision = update.revision;
  // Tell the control role at once that the revision is in force here.
  next_heartbeat_ = Time{};
  return true;
}

}  // namespace jacinth::entry
