#include "core/entry/control_session.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/log/log.h"
#include "core/settings/tree_validation.h"

namespace jacinth::entry {
namespace {

using protocol::Heartbeat;
using protocol::HeartbeatReply;
using protocol::SettingsUpdate;

/// Factor by which the heartbeat interval is shortened until the first settings
/// are received.
constexpr int kInitialHeartbeatDivisor = 3;
/// Heartbeat intervals without a leader's reply after which heartbeats go to
/// all contacts.
constexpr int kMaxUnansweredHeartbeats = 3;
constexpr std::size_t kMaxContacts = 32;
/// Delay of the heartbeat that sends a slice claim, so that several claims
/// share one heartbeat.
constexpr Duration kClaimBatchDelay = 40ms;

}  // namespace

ControlSession::ControlSession(protocol::EntryStatus self,
                               Duration heartbeat_interval,
                               Duration timeout)
    : self_(std::move(self)),
      heartbeat_interval_(heartbeat_interval),
      timeout_(timeout) {}

std::optional<Heartbeat> ControlSession::OnTick(Time now) {
  if (now < next_heartbeat_)
    return std::nullopt;
  // No request can be served without settings, so a newly elected leader must
  // be found quickly.
  next_heartbeat_ =
      now + (fleet_ == nullptr ? heartbeat_interval_ / kInitialHeartbeatDivisor
                               : heartbeat_interval_);
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
  heartbeat.rate_shares_version = rate_shares_.version;
  heartbeat.settings_position = receiver_.position();
  return heartbeat;
}

bool ControlSession::OnReply(const HeartbeatReply& reply, Time now) {
  for (const std::string& replica : reply.replicas)
    AddContact(replica);
  if (!reply.leader)
    return false;
  const auto sent = FindSendTime(reply.sequence);
  const bool confirmed = sent && now < *sent + timeout_;
  if (!confirmed && fleet_ == nullptr)
    return false;
  bool changed = false;
  newest_revision_ = std::max(newest_revision_, reply.revision);
  if (confirmed) {
    leader_ = reply.leader_hint;
    last_leader_reply_ = now;
    if (endpoints_version_ != 0)
      endpoints_confirmed_at_ = now;
    const Time until = *sent + timeout_;
    changed |= until > contact_until_;
    contact_until_ = std::max(contact_until_, until);
  }
  if (reply.update.revision > self_.revision)
    changed |= ApplySettings(reply.update);
  if (reply.settings_piece.position.revision > self_.revision)
    changed |= ApplyPiece(reply.settings_piece);
  if (confirmed && reply.members.version != 0 &&
      reply.members.version != members_.version) {
    members_ = reply.members;
    changed = true;
  }
  slices_.ApplyUpdate(reply.slices);
  if (reply.rate_shares.version > rate_shares_.version)
    rate_shares_ = reply.rate_shares;
  if (ApplyEndpointUpdate(reply.endpoints, now)) {
    endpoints_confirmed_at_ = now;
    changed = true;
  }
  return changed;
}

void ControlSession::ExpediteHeartbeat(Time now) {
  next_heartbeat_ = std::min(next_heartbeat_, now + kClaimBatchDelay);
}

bool ControlSession::IsSearching(Time now) const {
  return leader_.empty() ||
         now > last_leader_reply_ +
                   kMaxUnansweredHeartbeats * heartbeat_interval_;
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

void ControlSession::ApplyEndpointList(
    const std::vector<protocol::ListedEndpoint>& list,
    Time now) {
  endpoints_confirmed_at_ = now;
  // Version 0 makes the leader send a complete list with its next update.
  endpoints_version_ = 0;
  std::set<std::string> listed_ids;
  for (const protocol::ListedEndpoint& endpoint : list) {
    listed_ids.insert(endpoint.id);
    if (SetEndpoint(endpoint, now))
      ++endpoint_changes_;
  }
  const std::size_t before = endpoints_.size();
  RemoveUnlisted(listed_ids);
  if (endpoints_.size() != before)
    ++endpoint_changes_;
}

void ControlSession::RemoveUnlisted(const std::set<std::string>& listed_ids) {
  const auto is_unlisted = [&](const auto& item) {
    return listed_ids.count(item.first) == 0;
  };
  std::erase_if(endpoints_, is_unlisted);
  std::erase_if(cold_until_, is_unlisted);
}

Duration ControlSession::RemainingColdTime(const std::string& id,
                                           Time now) const {
  const auto found = cold_until_.find(id);
  return found == cold_until_.end()
             ? Duration{0}
             : std::max(Duration{0}, found->second - now);
}

// Stores an endpoint of a list and returns true if it has changed. An endpoint
// that was listed as draining stays in this state until it restarts, even if a
// later list has another state.
bool ControlSession::SetEndpoint(const protocol::ListedEndpoint& endpoint,
                                 Time now) {
  protocol::ListedEndpoint& current = endpoints_[endpoint.id];
  protocol::ListedEndpoint next = endpoint;
  if (current.started_ms == next.started_ms && current.address == next.address)
    next.draining |= current.draining;
  if (current == next)
    return false;
  cold_until_[endpoint.id] =
      now + std::chrono::milliseconds(endpoint.cold_for_ms);
  current = std::move(next);
  return true;
}

bool ControlSession::ApplyEndpointUpdate(const protocol::EndpointUpdate& update,
                                         Time now) {
  if (update.version == 0 || update.version <= endpoints_version_)
    return false;
  if (update.base != 0 && update.base != endpoints_version_)
    return false;
  endpoints_version_ = update.version;
  if (update.base == 0) {
    std::set<std::string> listed_ids;
    for (const protocol::ListedEndpoint& endpoint : update.changed)
      listed_ids.insert(endpoint.id);
    RemoveUnlisted(listed_ids);
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

void ControlSession::SetIsolated(bool isolated) {
  self_.isolated = isolated;
  next_heartbeat_ = Time{};
}

std::optional<Time> ControlSession::FindSendTime(std::uint64_t sequence) const {
  for (const SentHeartbeat& heartbeat : sent_) {
    if (heartbeat.sequence == sequence)
      return heartbeat.sent;
  }
  return std::nullopt;
}

// Adds a piece of an update, and applies the update if it is complete. Returns
// true if new settings are in force.
bool ControlSession::ApplyPiece(const protocol::SettingsPiece& piece) {
  const bool is_complete = receiver_.Add(piece, self_.revision);
  // Asks for the next piece.
  next_heartbeat_ = Time{};
  if (!is_complete)
    return false;
  const auto update = receiver_.Take();
  if (!update) {
    log::Warning(log::Category::kEntry,
                 "Received damaged settings: " + update.error().detail + ".");
    return false;
  }
  return ApplySettings(*update);
}

bool ControlSession::ApplySettings(const SettingsUpdate& update) {
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
  // Makes the next heartbeat due at once, to report that the revision is in
  // force.
  next_heartbeat_ = Time{};
  return true;
}

}  // namespace jacinth::entry
