#include <algorithm>
#include <functional>
#include <utility>

#include "core/consensus/replica.h"

namespace jacinth::consensus {

using protocol::LogEntry;
using protocol::LogEntryKind;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

Result<std::uint64_t> Replica::Propose(std::string payload, Time now) {
  if (halted_ || role_ != ReplicaRole::kLeader || transfer_started_)
    return Fail(ErrorKind::kNotLeader, "this replica is not the leader");
  const std::uint64_t index =
      AppendLocally(LogEntryKind::kCommand, std::move(payload));
  Broadcast(now);
  return index;
}

void Replica::TransferLeadership(Time now) {
  if (role_ != ReplicaRole::kLeader || transfer_started_)
    return;
  std::string target;
  std::uint64_t best_match = 0;
  for (const auto& [id, progress] : progress_) {
    if (!configuration_.IsVoter(id) || progress.match < best_match ||
        IsLost(id, now))
      continue;
    best_match = progress.match;
    target = id;
  }
  if (target.empty())
    return;
  // The lease ends here, whether or not the transfer succeeds.
  transfer_started_ = now;
  SendAppend(target, /*even_if_empty=*/false, now);
  Send(MakeMessage(PeerMessageKind::kTimeoutNow, target),
       /*wait_for_sync=*/false);
}

void Replica::BecomeLeader(Time now) {
  role_ = ReplicaRole::kLeader;
  leader_ = options_.id;
  lease_.emplace(now);
  transfer_started_.reset();
  progress_.clear();
  first_index_of_term_ = AppendLocally(LogEntryKind::kNoop, "");
  last_voter_change_ = 0;
  voters_changed_ = now;
  own_confirmations_ = ConfirmationWatch(now);
  commits_ = ConfirmationWatch(now);
  max_wait_ = options_.replace_after;
  Broadcast(now);
  heartbeat_due_ = now + options_.heartbeat;
}

std::uint64_t Replica::AppendLocally(LogEntryKind kind, std::string payload) {
  LogEntry entry;
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  entry.kind = kind;
  entry.payload = std::move(payload);
  if (first_unwritten_index_ == 0)
    first_unwritten_index_ = entry.index;
  log_.Append(std::move(entry));
  return log_.last_index();
}

void Replica::Broadcast(Time now) {
  for (const std::string& voter : configuration_.voters)
    SendAppend(voter, /*even_if_empty=*/false, now);
  for (const std::string& learner : configuration_.learners)
    SendAppend(learner, /*even_if_empty=*/false, now);
}

void Replica::SendAppend(const std::string& to, bool even_if_empty, Time now) {
  if (to == options_.id)
    return;
  auto [found, added] = progress_.try_emplace(to);
  Progress& progress = found->second;
  if (added) {
    progress.next = log_.last_index() + 1;
    progress.waiting_since = now;
    progress.added = now;
    progress.confirmations = ConfirmationWatch(now);
    progress.goal = commit_index_;
    progress.goal_set = now;
    even_if_empty = true;
  }
  const bool snapshot_in_flight =
      progress.snapshot_sent &&
      now < *progress.snapshot_sent + options_.election_timeout;
  if (snapshot_in_flight) {
    if (even_if_empty)
      SendEmptyHeartbeat(to, now);
    return;
  }
  if (progress.next < log_.first_index()) {
    SendSnapshot(to, now);
    return;
  }
  const bool may_send = progress.inflight < options_.max_inflight;
  PeerMessage message = MakeMessage(PeerMessageKind::kAppend, to);
  if (may_send) {
    message.entries =
        log_.Slice(progress.next, options_.max_entries_per_message);
  }
  if (message.entries.empty() && !even_if_empty)
    return;
  message.index = progress.next - 1;
  message.log_term = log_.TermAt(message.index).value_or(0);
  message.commit = commit_index_;
  message.round = lease_->StartRound(now);
  message.asks_location = !progress.location.IsKnown();
  if (!message.entries.empty()) {
    // The time of waiting for a reply begins here, however long ago the last
    // entry was.
    if (progress.next == progress.match + 1)
      progress.waiting_since = now;
    progress.next += message.entries.size();
    ++progress.inflight;
  }
  // Raft allows followers to sync entries before the leader has synced them.
  Send(std::move(message), /*wait_for_sync=*/false);
}

void Replica::SendSnapshot(const std::string& to, Time now) {
  Progress& progress = progress_[to];
  PeerMessage message = MakeMessage(PeerMessageKind::kSnapshot, to);
  message.snapshot = log_.base();
  message.round = lease_->StartRound(now);
  message.asks_location = !progress.location.IsKnown();
  progress.next = log_.base().index + 1;
  progress.waiting_since = now;
  progress.snapshot_sent = now;
  Send(std::move(message), /*wait_for_sync=*/false);
}

// Every log matches at index 0, so any follower accepts this message.
void Replica::SendEmptyHeartbeat(const std::string& to, Time now) {
  PeerMessage message = MakeMessage(PeerMessageKind::kAppend, to);
  message.round = lease_->StartRound(now);
  Send(std::move(message), /*wait_for_sync=*/false);
}

void Replica::OnAppendReply(const PeerMessage& message, Time now) {
  if (role_ != ReplicaRole::kLeader || message.term != hard_state_.term)
    return;
  const auto found = progress_.find(message.from);
  if (found == progress_.end())
    return;
  lease_->RecordReply(message.from, message.round);
  Progress& progress = found->second;
  if (message.location.IsKnown())
    progress.location = message.location;
  if (progress.inflight > 0)
    --progress.inflight;
  if (!message.granted) {
    // The follower's log doesn't match at the index of the message.
    if (message.index < progress.next) {
      progress.next = std::max(progress.match, message.index) + 1;
      progress.inflight = 0;
    }
    SendAppend(message.from, /*even_if_empty=*/true, now);
    return;
  }
  if (message.index > progress.match) {
    progress.match = message.index;
    progress.confirmations.Update(progress.match, log_.last_index(), now);
    progress.waiting_since = now;
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.match + 1 >= log_.first_index())
      progress.snapshot_sent.reset();
    AdvanceCommit();
  }
  AdvanceGoal(progress, commit_index_, now);
  if (progress.next <= log_.last_index())
    SendAppend(message.from, /*even_if_empty=*/false, now);
}

void Replica::AdvanceGoal(Progress& progress,
                          std::uint64_t commit_index,
                          Time now) {
  if (progress.match < progress.goal)
    return;
  progress.reached = progress.goal_set;
  progress.goal = commit_index;
  progress.goal_set = now;
}

void Replica::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id) {
      matches.push_back(stable_index_);
      continue;
    }
    const auto found = progress_.find(voter);
    matches.push_back(found == progress_.end() ? 0 : found->second.match);
  }
  if (matches.empty())
    return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const std::uint64_t index = matches[configuration_.QuorumSize() - 1];
  // Entries of earlier terms are committed only with an entry of this term.
  if (log_.TermAt(index) == hard_state_.term)
    SetCommitIndex(index);
}

void Replica::LeaderTick(Time now) {
  if (now < heartbeat_due_)
    return;
  // While this replica was busy it handled no replies, which may have arrived.
  // If it was for longer than the others wait, one of them leads already.
  const Duration late = now - heartbeat_due_;
  const Duration busy = late < options_.election_timeout ? late : Duration{0};
  heartbeat_due_ = now + options_.heartbeat;
  const Time contact = std::max(
      lease_->start(), lease_->QuorumContact(configuration_, options_.id, now));
  const bool transfer_timed_out =
      transfer_started_ && now > *transfer_started_ + options_.election_timeout;
  if (now > contact + options_.election_timeout + busy || transfer_timed_out) {
    BecomeFollower(hard_state_.term, "", now);
    return;
  }
  WatchConfirmations(now);
  const auto send_heartbeat = [&](const std::string& id) {
    const auto found = progress_.find(id);
    if (found != progress_.end()) {
      Progress& progress = found->second;
      // Messages may have been lost: resends from the last known match. A
      // replica that hasn't replied in this term may have all entries of
      // earlier ones, and otherwise tells which it lacks.
      const bool stalled =
          now > progress.waiting_since + options_.election_timeout / 2;
      const std::uint64_t resend_from = std::max(
          progress.match + 1, std::min(progress.next, first_index_of_term_));
      if (resend_from < progress.next && stalled) {
        progress.next = resend_from;
        progress.inflight = 0;
        progress.waiting_since = now;
      }
    }
    SendAppend(id, /*even_if_empty=*/true, now);
  };
  for (const std::string& voter : configuration_.voters)
    send_heartbeat(voter);
  for (const std::string& learner : configuration_.learners)
    send_heartbeat(learner);
}

}  // namespace jacinth::consensus
