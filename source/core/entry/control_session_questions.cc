#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/entry/control_session.h"

namespace jacinth::entry {
namespace {

using protocol::HeartbeatReply;

/// Age of the settings after which replicas that don't lead are asked for newer
/// ones: two heartbeats of a large fleet are unanswered then.
constexpr Duration kMaxSettingsAge = 1300ms;
/// Number of replicas that are asked at once which revision they have applied:
/// one may be down or lag.
constexpr std::size_t kAskedReplicas = 2;
/// Time between two such questions, and after a question for a piece.
constexpr Duration kSettingsQuestionInterval = 400ms;
/// Time after a leader's piece before others are asked, so that they don't send
/// what is on its way.
constexpr Duration kLeaderPieceInterval = 700ms;

}  // namespace

std::vector<ControlSession::Question> ControlSession::TakeSettingsQuestions(
    Time now) {
  std::vector<Question> questions;
  if (!fetch_from_.empty()) {
    questions.push_back(
        MakeSettingsQuestion(std::exchange(fetch_from_, ""), now));
    questions.back().heartbeat.lacks_settings = true;
    fetched_with_ = sequence_;
    return questions;
  }
  if (now < next_settings_question_ || !AreSettingsOld(now))
    return questions;
  std::vector<std::string> contacts = contacts_;
  std::erase(contacts, leader_);
  if (contacts.size() > kAskedReplicas) {
    // Entries begin at different replicas, and each pair is asked.
    const auto first = static_cast<std::ptrdiff_t>(
        (Hash64(self_.id) + settings_rounds_) % contacts.size());
    std::rotate(contacts.begin(), contacts.begin() + first, contacts.end());
    contacts.resize(kAskedReplicas);
  }
  ++settings_rounds_;
  for (std::string& contact : contacts)
    questions.push_back(MakeSettingsQuestion(std::move(contact), now));
  return questions;
}

ControlSession::Question ControlSession::MakeSettingsQuestion(
    std::string contact,
    Time now) {
  next_settings_question_ = now + kSettingsQuestionInterval;
  ++asked_since_answer_;
  ++sequence_;
  settings_questions_.push_back(
      {sequence_, now, ToldRevision(), receiver_.position(), contact});
  while (settings_questions_.front().sent + timeout_ < now)
    settings_questions_.pop_front();
  return {std::move(contact), MakeHeartbeat()};
}

// Returns true if newer settings may have been in force for some time, or a
// replica knows of newer ones and the leader hasn't told of them.
bool ControlSession::AreSettingsOld(Time now) const {
  const bool is_untold =
      newest_revision_ > std::max(leader_revision_, self_.revision);
  return fleet_ != nullptr && !needs_whole_tree_ &&
         (is_untold || now > settings_confirmed_at_ + kMaxSettingsAge) &&
         now >= last_leader_piece_ + kLeaderPieceInterval;
}

// Returns the time at which a revision, or an earlier one, was the newest.
Time ControlSession::NewestUntil(std::uint64_t revision) const {
  Time until = settings_confirmed_at_;
  for (const auto& [named, sent] : named_revisions_) {
    if (named <= revision)
      until = std::max(until, sent);
  }
  return until;
}

bool ControlSession::MayBeReplaced(std::string_view host,
                                   std::string_view path,
                                   Time now,
                                   Duration bound) const {
  if (!HasReplacedSettings(now, bound))
    return false;
  const protocol::SettingsPosition& received = receiver_.position();
  const bool knows_scope = received.revision > self_.revision &&
                           received.base_revision == self_.revision;
  // Nothing is known of what follows the update that is being received.
  const bool is_scope_old = received.revision < leader_revision_ &&
                            now > NewestUntil(received.revision) + bound;
  if (!knows_scope || is_scope_old)
    return true;
  const settings::RouteSettings* route = fleet_->FindRoute(host, path);
  return receiver_.scope().MayInclude(
      host, path, route != nullptr ? route->kind.name : std::string_view{});
}

// Takes settings from a replica that doesn't lead. What it has applied is in
// force, though it may not be the newest.
bool ControlSession::ApplyReplicaSettings(const HeartbeatReply& reply,
                                          Time now) {
  bool changed = LearnRevision(reply.revision);
  if (changed)
    ExpediteHeartbeat(now);
  if (fleet_ == nullptr)
    return changed;
  const protocol::SettingsPosition position_before = receiver_.position();
  const std::uint64_t revision_before = self_.revision;
  if (reply.settings_piece.position.revision > self_.revision) {
    if (receiver_.Add(reply.settings_piece, ToldRevision()))
      changed |= ApplyReceived();
    ConfirmSettings();
  }
  const bool advanced = self_.revision != revision_before ||
                        receiver_.position() != position_before;
  FetchNext(reply, advanced);
  return changed;
}

// Chooses whom to ask for the next piece: the replica that has sent the last
// one, as others may have packed another update, or one that names a newer
// revision in answer to a question after which no piece was asked for. A piece
// that was asked for before has been lost then, unless the replicas' answers
// have overtaken each other.
void ControlSession::FetchNext(const HeartbeatReply& reply, bool advanced) {
  const SentHeartbeat* question = FindSent(reply.sequence);
  const bool is_answer = question != nullptr && !question->contact.empty();
  if (!is_answer || needs_whole_tree_ || reply.revision <= self_.revision)
    return;
  const bool brings_settings = reply.settings_piece.position.revision != 0;
  const bool is_first = !brings_settings && reply.sequence > fetched_with_;
  if (advanced || is_first)
    fetch_from_ = question->contact;
}

}  // namespace jacinth::entry
