#include "core/entry/control_session.h"

#include <algorithm>
#include <iterator>
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
/// Heartbeats after which that factor is reduced by one.
constexpr std::int64_t kHeartbeatsPerSearchInterval = 5;
/// Heartbeat intervals without a leader's reply after which heartbeats go to
/// all contacts.
constexpr int kMaxUnansweredHeartbeats = 3;
constexpr std::size_t kMaxContacts = 32;
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
/// Number of contacts that are asked beside a leader that has not answered.
constexpr std::size_t kStandbyContacts = 2;
/// Age of what is known of drains after which others than the leader are asked.
/// It is lower while the leader reads the platform's list each 750 ms and
/// answers heartbeats. What is left of the 3 s for which an endpoint that
/// drains may get requests is enough for a question and its answer.
constexpr Duration kMaxDrainsAge = 1800ms;
/// The same beyond the leader's interval, if that is longer.
constexpr Duration kMaxDrainsDelay = kMaxDrainsAge - 750ms;
/// Time between two questions, which a replica that has to read the list first
/// needs to answer.
constexpr Duration kQuestionInterval = 400ms;
/// Minimum time between a heartbeat and the next one to a leader that a contact
/// has named.
constexpr Duration kHintDelay = 100ms;
/// Sequence numbers hold the lower bits of the incarnation in their upper 32
/// bits, as replicas may still answer the process before a restart.
constexpr unsigned kIncarnationShift = 32;

}  // namespace

ControlSession::ControlSession(protocol::EntryStatus self,
                               Duration heartbeat_interval,
                               Duration timeout)
    : self_(std::move(self)),
      heartbeat_interval_(heartbeat_interval),
      timeout_(timeout),
      first_sequence_(self_.incarnation << kIncarnationShift),
      sequence_(first_sequence_),
      answered_sequence_(first_sequence_) {}

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
  sent_.push_back({sequence_, now, ToldRevision(), receiver_.position()});
  while (sent_.front().sent + timeout_ < now)
    sent_.pop_front();
  Heartbeat heartbeat = MakeHeartbeat();
  heartbeat.claims = slices_.TakeClaims();
  heartbeat.uses = slices_.TakeUses();
  heartbeat.lacks_endpoints = std::exchange(lacks_endpoints_, false);
  if (heartbeat.lacks_endpoints)
    told_lack_with_ = sequence_;
  heartbeat.lacks_settings = std::exchange(lacks_settings_, false);
  if (heartbeat.lacks_settings)
    told_settings_lack_with_ = sequence_;
  heartbeat.lacks_members = std::exchange(lacks_members_, false);
  if (heartbeat.lacks_members)
    told_members_lack_with_ = sequence_;
  AddDigests(heartbeat);
  return heartbeat;
}

// Returns a heartbeat that says what this instance holds.
Heartbeat ControlSession::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.status = self_;
  heartbeat.status.revision = ToldRevision();
  heartbeat.members_version = members_.version;
  heartbeat.sequence = sequence_;
  heartbeat.endpoints_version = endpoints_version_;
  heartbeat.slices_version = slices_.version();
  heartbeat.rate_shares_version = rate_shares_.version;
  heartbeat.takes_share_changes = true;
  heartbeat.settings_position = receiver_.position();
  heartbeat.takes_changes = true;
  return heartbeat;
}

// Revision that this instance tells the leader to hold.
std::uint64_t ControlSession::ToldRevision() const {
  return needs_whole_tree_ ? 0 : self_.revision;
}

std::optional<Heartbeat> ControlSession::TakeQuestion(Time now) {
  if (!AreDrainsOld(now)) {
    questions_ = 0;
    return std::nullopt;
  }
  if (now < next_question_)
    return std::nullopt;
  next_question_ = now + kQuestionInterval;
  ++sequence_;
  ++questions_;
  sent_questions_.push_back({sequence_, now, 0, {}});
  while (sent_questions_.front().sent + timeout_ < now)
    sent_questions_.pop_front();
  Heartbeat question = MakeHeartbeat();
  question.asks_listing = true;
  AddEndpointDigest(question);
  return question;
}

bool ControlSession::OnReply(const HeartbeatReply& reply, Time now) {
  for (const std::string& replica : reply.replicas)
    AddContact(replica);
  if (!reply.leader) {
    OnLeaderHint(reply.leader_hint, now);
    bool changed = ApplyDrains(reply.drains);
    changed |= ApplyReplicaSettings(reply, now);
    const auto asked = FindQuestionTime(reply.sequence);
    if (reply.listing && asked)
      ConfirmDrains(*asked - std::chrono::milliseconds(reply.listing->age_ms));
    return changed;
  }
  last_leader_message_ = now;
  const SentHeartbeat* answered = FindSent(reply.sequence);
  const bool confirmed = answered != nullptr && now < answered->sent + timeout_;
  if (!confirmed && fleet_ == nullptr)
    return false;
  bool changed = LearnRevision(reply.revision);
  leader_revision_ = std::max(leader_revision_, reply.revision);
  if (confirmed) {
    leader_ = reply.leader_hint;
    hinted_leader_.clear();
    answered_sequence_ = std::max(answered_sequence_, reply.sequence);
    asked_since_answer_ = 0;
    if (expedites_next_)
      ExpediteHeartbeat(now);
    last_leader_reply_ = now;
    const Time until = answered->sent + timeout_;
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
  if (reply.settings_piece.position.revision > self_.revision) {
    const std::uint64_t told_before = ToldRevision();
    const protocol::SettingsPosition position_before = receiver_.position();
    last_leader_piece_ = now;
    if (receiver_.Add(reply.settings_piece, told_before)) {
      changed |= ApplyReceived();
    } else {
      // Asks for the next piece.
      next_heartbeat_ = Time{};
    }
    ignored_piece_ = told_before == ToldRevision() &&
                     position_before == receiver_.position();
  }
  if (confirmed) {
    Time& named = named_revisions_[reply.revision];
    named = std::max(named, answered->sent);
  }
  ConfirmSettings();
  changed |= ApplyMembers(reply.members);
  // What differs in parts was found for the digest of the heartbeat.
  if (!reply.slices.parts || reply.sequence == told_slices_with_)
    slices_.ApplyUpdate(reply.slices);
  protocol::ApplyRateShares(reply.rate_shares, rate_shares_);
  // What differs in parts of the list was found for the list of the heartbeat.
  const bool was_replaced =
      reply.endpoints.parts && reply.sequence <= list_replaced_after_;
  changed |= !was_replaced && ApplyEndpointUpdate(reply.endpoints, now);
  if (confirmed) {
    CheckSettings(reply, *answered, now);
    CheckMembers(reply, now);
    CheckListing(reply, answered->sent, now);
  }
  return changed;
}

// Notes a revision that a replica has named. Returns true if it is newer than
// all others, which look-ups depend on.
bool ControlSession::LearnRevision(std::uint64_t revision) {
  if (revision <= newest_revision_)
    return false;
  newest_revision_ = revision;
  ignored_piece_ = false;
  return true;
}

// Finds that a piece of settings was lost: the leader names a newer revision
// but sends nothing, so it takes a piece to be on its way that must have
// arrived before this answer, and what is held is still what the heartbeat
// said.
void ControlSession::CheckSettings(const HeartbeatReply& reply,
                                   const SentHeartbeat& answered,
                                   Time now) {
  const bool brings_settings =
      reply.update.revision != 0 || reply.settings_piece.position.revision != 0;
  const bool is_unchanged = answered.revision == ToldRevision() &&
                            answered.position == receiver_.position();
  const bool is_missing = reply.revision > self_.revision && !brings_settings &&
                          is_unchanged && !ignored_piece_ &&
                          reply.sequence >= told_settings_lack_with_;
  if (!is_missing)
    return;
  lacks_settings_ = true;
  ExpediteHeartbeat(now);
}

// Finds that a message with members was lost: the leader has sent more than
// what is held, before this answer.
void ControlSession::CheckMembers(const HeartbeatReply& reply, Time now) {
  const bool is_missing = members_.version < reply.sent_members_version &&
                          reply.sequence >= told_members_lack_with_;
  if (!is_missing)
    return;
  lacks_members_ = true;
  ExpediteHeartbeat(now);
}

// Compares the endpoints with what the leader says of its list, after
// everything that it had sent before has arrived.
void ControlSession::CheckListing(const HeartbeatReply& reply,
                                  Time sent,
                                  Time now) {
  if (!reply.listing) {
    // Leaders of earlier builds don't tell.
    if (endpoints_version_ != 0)
      ConfirmEndpoints(now);
    return;
  }
  const protocol::ListingState& listing = *reply.listing;
  listing_interval_ = std::chrono::milliseconds(listing.interval_ms);
  if (listing.version != 0 && endpoints_version_ == listing.version) {
    ConfirmEndpoints(sent - std::chrono::milliseconds(listing.age_ms));
    return;
  }
  const bool is_missing = endpoints_version_ < listing.sent_version &&
                          reply.sequence >= told_lack_with_;
  if (!is_missing)
    return;
  lacks_endpoints_ = true;
  ExpediteHeartbeat(now);
}

void ControlSession::ConfirmSettings() {
  const auto newer = named_revisions_.upper_bound(self_.revision);
  for (auto named = named_revisions_.begin(); named != newer; ++named)
    settings_confirmed_at_ = std::max(settings_confirmed_at_, named->second);
  named_revisions_.erase(named_revisions_.begin(), newer);
}

void ControlSession::ConfirmEndpoints(Time at) {
  endpoints_confirmed_at_ = std::max(endpoints_confirmed_at_, at);
  ConfirmDrains(at);
}

void ControlSession::ConfirmDrains(Time at) {
  drains_confirmed_at_ = std::max(drains_confirmed_at_, at);
}

bool ControlSession::AreDrainsOld(Time now) const {
  return !endpoints_.empty() && now > drains_confirmed_at_ + MaxDrainsAge();
}

Duration ControlSession::MaxDrainsAge() const {
  return std::max(kMaxDrainsAge, listing_interval_ + kMaxDrainsDelay);
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
      1, kInitialHeartbeatDivisor -
             static_cast<std::int64_t>(sequence_ - first_sequence_) /
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
  TakeContacts(kMaxAskedContacts, asked);
  return asked;
}

std::vector<std::string> ControlSession::StandbyContacts() const {
  std::vector<std::string> contacts = contacts_;
  std::erase(contacts, leader_);
  std::sort(contacts.begin(), contacts.end());
  if (contacts.size() <= kStandbyContacts)
    return contacts;
  const auto after_leader =
      std::upper_bound(contacts.begin(), contacts.end(), leader_);
  // Others follow with each further question, and with each further heartbeat
  // that is not answered.
  const std::uint64_t missed =
      sequence_ - answered_sequence_ - asked_since_answer_;
  const auto shift =
      static_cast<std::uint64_t>(after_leader - contacts.begin()) +
      (questions_ > 0 ? (questions_ - 1) * kStandbyContacts : missed);
  std::rotate(
      contacts.begin(),
      contacts.begin() + static_cast<std::ptrdiff_t>(shift % contacts.size()),
      contacts.end());
  contacts.resize(kStandbyContacts);
  return contacts;
}

// Adds contacts until there are `count`, or all.
void ControlSession::TakeContacts(std::size_t count,
                                  std::vector<std::string>& asked) {
  // Entries begin at different contacts.
  if (next_contact_ == 0)
    next_contact_ = Hash64(self_.id);
  for (std::size_t i = 0; i < contacts_.size() && asked.size() < count; ++i) {
    const std::string& contact = contacts_[next_contact_++ % contacts_.size()];
    if (std::find(asked.begin(), asked.end(), contact) == asked.end())
      asked.push_back(contact);
  }
}

bool ControlSession::IsSearching(Time now) const {
  return leader_.empty() ||
         now > last_leader_reply_ +
                   kMaxUnansweredHeartbeats * HeartbeatInterval();
}

bool ControlSession::MissesReply(Time now) const {
  if (sent_.size() < 2)
    return false;
  const SentHeartbeat& previous = *std::prev(sent_.end(), 2);
  return previous.sequence > answered_sequence_ &&
         now >= previous.sent + HeartbeatInterval() / 2;
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

void ControlSession::SetDraining() {
  self_.draining = true;
  next_heartbeat_ = Time{};
}

void ControlSession::SetIsolated(bool isolated) {
  self_.isolated = isolated;
  next_heartbeat_ = Time{};
}

void ControlSession::SetStarting(bool starting) {
  self_.starting = starting;
  next_heartbeat_ = Time{};
}

std::optional<Time> ControlSession::FindQuestionTime(
    std::uint64_t sequence) const {
  for (const SentHeartbeat& question : sent_questions_) {
    if (question.sequence == sequence)
      return question.sent;
  }
  return std::nullopt;
}

const ControlSession::SentHeartbeat* ControlSession::FindSent(
    std::uint64_t sequence) const {
  for (const std::deque<SentHeartbeat>* sent : {&sent_, &settings_questions_}) {
    for (const SentHeartbeat& heartbeat : *sent) {
      if (heartbeat.sequence == sequence)
        return &heartbeat;
    }
  }
  return nullptr;
}

// Applies an update whose pieces have all been received. Returns true if new
// settings are in force.
bool ControlSession::ApplyReceived() {
  const std::uint64_t revision = receiver_.position().revision;
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
  const bool applied =
      update.base_revision != 0 ? ApplyChanges(update) : ApplyTree(update);
  if (!applied)
    return false;
  self_.revision = update.revision;
  // Makes the next heartbeat due at once, to report that the revision is in
  // force.
  next_heartbeat_ = Time{};
  return true;
}

// Changes the tree in place, as it may be large and changes come in series.
bool ControlSession::ApplyChanges(const SettingsUpdate& update) {
  if (fleet_ == nullptr || update.base_revision != self_.revision)
    return false;
  std::vector<std::string> branches;
  std::vector<settings::Tree::Values> replaced;
  for (const protocol::BranchChange& change : update.changes) {
    branches.push_back(change.branch);
    replaced.push_back(tree_.Replace(change.branch, change.values));
  }
  if (tree_.Checksum() != update.checksum) {
    // In reverse order, as a branch may occur more than once.
    for (std::size_t i = branches.size(); i > 0; --i)
      tree_.Replace(branches[i - 1], std::move(replaced[i - 1]));
    return false;
  }
  fleet_ =
      settings::UpdateFleetSettings(*fleet_, tree_, branches, update.revision);
  return true;
}

bool ControlSession::ApplyTree(const SettingsUpdate& update) {
  if (Hash64(update.text) != update.checksum)
    return false;
  settings::ParsedTree parsed = settings::ParseTree(update.text);
  if (!parsed.faults.empty())
    return false;
  tree_ = std::move(parsed.tree);
  fleet_ = settings::BuildFleetSettings(tree_, update.revision);
  return true;
}

}  // namespace jacinth::entry
