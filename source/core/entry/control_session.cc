#include "core/entry/control_session.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/log/log.h"
#include "core/protocol/table_digest.h"
#include "core/settings/tree_validation.h"

namespace jacinth::entry {
namespace {

using protocol::Heartbeat;
using protocol::HeartbeatReply;
using protocol::SettingsUpdate;

/// Factor by which the heartbeat interval is shortened until the first settings
/// are received.
constexpr int kInitialHeartbeatDivisor = 3;
/// Heartbeats after which that factor is reduced by one.
constexpr std::int64_t kHeartbeatsPerSearchInterval = 5;
/// Heartbeat intervals without a leader's reply after which heartbeats go to
/// all contacts.
constexpr int kMaxUnansweredHeartbeats = 3;
constexpr std::size_t kMaxContacts = 32;
/// Versions of lists hold the leader's term in the upper 32 bits.
constexpr unsigned kTermShift = 32;
/// Delay of the heartbeat that sends a slice claim, so that several claims
/// share one heartbeat.
constexpr Duration kClaimBatchDelay = 40ms;
/// Parts of the interval between two heartbeats, and between two that send
/// claims, for each member of the fleet. They bound the heartbeats that one
/// leader gets.
constexpr Duration kIntervalPerMember = 3ms;
constexpr Duration kClaimIntervalPerMember = 1ms;
/// Part of the control timeout that the interval between heartbeats never
/// exceeds, so that several may be lost.
constexpr int kMaxIntervalDivisor = 4;
/// Number of contacts that are asked at once for the leader.
constexpr std::size_t kMaxAskedContacts = 5;
/// Minimum time between a heartbeat and the next one to a leader that a contact
/// has named.
constexpr Duration kHintDelay = 100ms;

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
  // A leader that is known to hold the first settings sends them in time.
  const bool seeks_leader = fleet_ == nullptr && IsSearching(now);
  next_heartbeat_ =
      now + (seeks_leader ? SearchInterval() : HeartbeatInterval());
  expedites_next_ = false;
  ++sequence_;
  sent_.push_back({sequence_, now});
  while (sent_.front().sent + timeout_ < now)
    sent_.pop_front();
  Heartbeat heartbeat;
  heartbeat.status = self_;
  if (needs_whole_tree_)
    heartbeat.status.revision = 0;
  heartbeat.members_version = members_.version;
  heartbeat.sequence = sequence_;
  heartbeat.endpoints_version = endpoints_version_;
  heartbeat.slices_version = slices_.version();
  heartbeat.claims = slices_.TakeClaims();
  heartbeat.uses = slices_.TakeUses();
  heartbeat.rate_shares_version = rate_shares_.version;
  heartbeat.settings_position = receiver_.position();
  heartbeat.takes_changes = true;
  AddDigests(heartbeat);
  return heartbeat;
}

// Tells what this instance holds of the lists that are not from the current
// leader, which then sends only what differs.
void ControlSession::AddDigests(Heartbeat& heartbeat) {
  const auto is_foreign = [this](std::uint64_t version) {
    return version == 0 ||
           (leader_term_ != 0 && version >> kTermShift != leader_term_);
  };
  if (is_foreign(endpoints_version_)) {
    protocol::TableDigest digest = protocol::MakeEndpointDigest();
    for (const auto& [id, endpoint] : endpoints_) {
      digest.Add(protocol::EndpointPart(id),
                 protocol::EndpointItemHash(endpoint));
    }
    heartbeat.endpoint_digest = digest.ToBytes();
  }
  if (is_foreign(slices_.version())) {
    heartbeat.slice_digest = slices_.TellDigest();
    told_slices_with_ = heartbeat.sequence;
  }
}

bool ControlSession::OnReply(const HeartbeatReply& reply, Time now) {
  for (const std::string& replica : reply.replicas)
    AddContact(replica);
  if (!reply.leader) {
    OnLeaderHint(reply.leader_hint, now);
    return false;
  }
  const auto sent = FindSendTime(reply.sequence);
  const bool confirmed = sent && now < *sent + timeout_;
  if (!confirmed && fleet_ == nullptr)
    return false;
  bool changed = false;
  // Look-ups depend on whether newer settings are known.
  changed |= reply.revision > newest_revision_;
  newest_revision_ = std::max(newest_revision_, reply.revision);
  if (confirmed) {
    leader_ = reply.leader_hint;
    hinted_leader_.clear();
    answered_sequence_ = std::max(answered_sequence_, reply.sequence);
    if (expedites_next_)
      ExpediteHeartbeat(now);
    last_leader_reply_ = now;
    if (endpoints_version_ != 0)
      endpoints_confirmed_at_ = now;
    const Time until = *sent + timeout_;
    changed |= until > contact_until_;
    contact_until_ = std::max(contact_until_, until);
    if (reply.term > leader_term_) {
      leader_term_ = reply.term;
      // The lists that are held are from another leader.
      ExpediteHeartbeat(now);
    }
  }
  if (reply.update.revision > self_.revision)
    changed |= ApplySettings(reply.update);
  if (reply.settings_piece.position.revision > self_.revision)
    changed |= ApplyPiece(reply.settings_piece);
  changed |= ApplyMembers(reply.members);
  // What differs in parts was found for the digest of the heartbeat.
  if (!reply.slices.parts || reply.sequence == told_slices_with_)
    slices_.ApplyUpdate(reply.slices);
  if (reply.rate_shares.version > rate_shares_.version)
    rate_shares_ = reply.rate_shares;
  // What differs in parts of the list was found for the list of the heartbeat.
  const bool was_replaced =
      reply.endpoints.parts && reply.sequence <= list_replaced_after_;
  if (!was_replaced && ApplyEndpointUpdate(reply.endpoints, now)) {
    endpoints_confirmed_at_ = now;
    changed = true;
  }
  return changed;
}

void ControlSession::ExpediteHeartbeat(Time now) {
  expedites_next_ = true;
  // A leader that is slow to answer isn't asked more often.
  const bool awaits_reply =
      !sent_.empty() && sent_.back().sequence > answered_sequence_;
  if (awaits_reply)
    return;
  const Duration interval =
      std::max(kClaimBatchDelay, MemberCount() * kClaimIntervalPerMember);
  const Time last_sent = sent_.empty() ? Time{} : sent_.back().sent;
  next_heartbeat_ = std::min(
      next_heartbeat_, std::max(now + kClaimBatchDelay, last_sent + interval));
}

// Grows with each heartbeat, so that a fleet without a leader doesn't keep the
// control instances from electing one.
Duration ControlSession::SearchInterval() const {
  const auto divisor = std::max<std::int64_t>(
      1, kInitialHeartbeatDivisor - static_cast<std::int64_t>(sequence_) /
                                        kHeartbeatsPerSearchInterval);
  return heartbeat_interval_ / divisor;
}

Duration ControlSession::HeartbeatInterval() const {
  return std::max(heartbeat_interval_,
                  std::min(MemberCount() * kIntervalPerMember,
                           timeout_ / kMaxIntervalDivisor));
}

int ControlSession::MemberCount() const {
  return static_cast<int>(members_.entries.size());
}

void ControlSession::OnLeaderHint(const std::string& leader, Time now) {
  if (leader.empty() || !IsSearching(now))
    return;
  hinted_leader_ = leader;
  if (std::exchange(last_hint_, leader) == leader)
    return;
  const Time last_sent = sent_.empty() ? Time{} : sent_.back().sent;
  next_heartbeat_ = std::min(next_heartbeat_, last_sent + kHintDelay);
}

std::vector<std::string> ControlSession::TakeAskedContacts() {
  if (contacts_.size() <= kMaxAskedContacts)
    return contacts_;
  std::vector<std::string> asked;
  if (!hinted_leader_.empty())
    asked.push_back(std::exchange(hinted_leader_, ""));
  // Entries begin at different contacts.
  if (next_contact_ == 0)
    next_contact_ = Hash64(self_.id);
  while (asked.size() < kMaxAskedContacts) {
    const std::string& contact = contacts_[next_contact_++ % contacts_.size()];
    if (std::find(asked.begin(), asked.end(), contact) == asked.end())
      asked.push_back(contact);
  }
  return asked;
}

bool ControlSession::ApplyMembers(const protocol::MemberList& update) {
  if (update.version <= members_.version)
    return false;
  if (update.base == 0) {
    members_ = update;
    return true;
  }
  if (update.base != members_.version)
    return false;
  members_.version = update.version;
  std::erase_if(members_.entries, [&](const protocol::EntryStatus& member) {
    return std::find(update.removed.begin(), update.removed.end(), member.id) !=
           update.removed.end();
  });
  for (const protocol::EntryStatus& member : update.entries) {
    const auto found = std::lower_bound(
        members_.entries.begin(), members_.entries.end(), member.id,
        [](const protocol::EntryStatus& left, const std::string& id) {
          return left.id < id;
        });
    if (found != members_.entries.end() && found->id == member.id)
      *found = member;
    else
      members_.entries.insert(found, member);
  }
  return true;
}

bool ControlSession::IsSearching(Time now) const {
  return leader_.empty() ||
         now > last_leader_reply_ +
                   kMaxUnansweredHeartbeats * HeartbeatInterval();
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
  list_replaced_after_ = sequence_;
  std::set<std::string> listed_ids;
  for (const protocol::ListedEndpoint& endpoint : list) {
    listed_ids.insert(endpoint.id);
    if (SetEndpoint(endpoint, now))
      ++endpoint_changes_;
  }
  const std::size_t before = endpoints_.size();
  RemoveUnlisted(listed_ids, std::nullopt);
  if (endpoints_.size() != before)
    ++endpoint_changes_;
}

// Removes the endpoints that aren't listed, if `parts` is set only in these
// parts of the list.
void ControlSession::RemoveUnlisted(
    const std::set<std::string>& listed_ids,
    const std::optional<std::vector<int>>& parts) {
  const auto is_unlisted = [&](const auto& item) {
    const bool in_parts =
        !parts ||
        std::find(parts->begin(), parts->end(),
                  static_cast<int>(protocol::EndpointPart(item.first))) !=
            parts->end();
    return in_parts && listed_ids.count(item.first) == 0;
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
    RemoveUnlisted(listed_ids, update.parts);
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
  const std::uint64_t revision = piece.position.revision;
  if (!receiver_.Add(piece, needs_whole_tree_ ? 0 : self_.revision)) {
    // Asks for the next piece.
    next_heartbeat_ = Time{};
    return false;
  }
  const auto update = receiver_.Take();
  if (update && ApplySettings(*update)) {
    needs_whole_tree_ = false;
    return true;
  }
  log::Warning(log::Category::kEntry,
               "The update to revision " + std::to_string(revision) +
                   " can't be applied: " +
                   (update ? "it doesn't fit the settings held or is invalid"
                           : update.error().detail) +
                   ". Requesting all settings.");
  needs_whole_tree_ = true;
  return false;
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
