#include "core/consensus/replica.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::consensus {

using protocol::PeerMessage;
using protocol::PeerMessageKind;

Replica::Replica(ReplicaOptions options, ReplicaStart start, Time now)
    : options_(std::move(options)),
      hard_state_(std::move(start.hard_state)),
      log_(std::move(start.snapshot), std::move(start.entries)) {
  configuration_ = log_.LastConfiguration();
  commit_index_ = log_.base().index;
  delivered_index_ = commit_index_;
  stable_index_ = log_.last_index();
  if (commit_index_ != 0)
    actions_.restore = log_.base();
  // The replica may have received a message from a leader just before it
  // stopped, so it must not vote for another candidate yet.
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

void Replica::OnMessage(const PeerMessage& message, Time now) {
  if (halted_ || message.to != options_.id)
    return;
  const bool is_vote_request = message.kind == PeerMessageKind::kPreVote ||
                               message.kind == PeerMessageKind::kVote;
  if (is_vote_request) {
    OnVoteRequest(message, now);
    return;
  }
  if (message.kind == PeerMessageKind::kPreVoteReply) {
    OnVoteReply(message, now);
    return;
  }
  if (message.term > hard_state_.term)
    BecomeFollower(message.term, "", now);
  switch (message.kind) {
    case PeerMessageKind::kAppend:
      OnAppend(message, now);
      return;
    case PeerMessageKind::kSnapshot:
      OnSnapshot(message, now);
      return;
    case PeerMessageKind::kAppendReply:
      OnAppendReply(message, now);
      return;
    case PeerMessageKind::kVoteReply:
      OnVoteReply(message, now);
      return;
    case PeerMessageKind::kTimeoutNow:
      if (message.term == hard_state_.term && IsVoter())
        StartElection(/*transfer=*/true, now);
      return;
    default:
      return;
  }
}

void Replica::OnTick(Time now) {
  if (halted_)
    return;
  if (role_ == ReplicaRole::kLeader) {
    LeaderTick(now);
    return;
  }
  if (!IsVoteSynced()) {
    // Nobody can have been elected with a vote that hasn't been sent.
    election_due_ = std::max(election_due_, now + options_.heartbeat);
    vote_requests_due_ = now + options_.heartbeat;
    return;
  }
  if (now < election_due_) {
    if (IsCandidate() && now >= vote_requests_due_)
      RequestVotes(now);
    return;
  }
  if (!IsVoter()) {
    ResetElectionTimer(now);
    return;
  }
  StartPreVote(now);
}

void Replica::OnSynced(SyncId id, Time now) {
  if (halted_)
    return;
  const bool vote_was_synced = IsVoteSynced();
  last_synced_ = std::max(last_synced_, id);
  if (!vote_was_synced && IsVoteSynced() && leader_.empty()) {
    // The disks of the others may need as long for their votes.
    ResetElectionTimer(now);
    election_due_ += now - vote_queued_;
  }
  while (!pending_writes_.empty() && pending_writes_.front().id <= id) {
    const PendingWrite& write = pending_writes_.front();
    if (log_.TermAt(write.last_index) == write.last_term)
      stable_index_ = write.last_index;
    pending_writes_.pop_front();
  }
  if (role_ == ReplicaRole::kCandidate)
    CountVotes(now);
  if (role_ == ReplicaRole::kLeader)
    AdvanceCommit();
}

void Replica::OnStorageFailure() {
  halted_ = true;
  role_ = ReplicaRole::kFollower;
  leader_.clear();
  lease_.reset();
  actions_ = {};
}

ReplicaActions Replica::TakeActions() {
  if (!halted_)
    QueueWrite();
  return std::exchange(actions_, {});
}

Time Replica::NextTickTime() const {
  if (role_ == ReplicaRole::kLeader)
    return heartbeat_due_;
  return IsCandidate() ? std::min(election_due_, vote_requests_due_)
                       : election_due_;
}

bool Replica::Leads() const {
  return !halted_ && role_ == ReplicaRole::kLeader && !transfer_started_ &&
         commit_index_ >= first_index_of_term_;
}

bool Replica::HoldsLease(Time now) const {
  if (!Leads())
    return false;
  const Duration lease_duration =
      options_.election_timeout * (100 - options_.clock_drift_percent) / 100;
  const Time contact = lease_->QuorumContact(configuration_, options_.id, now);
  return now < contact + lease_duration;
}

void Replica::Compact(std::uint64_t index, std::string state) {
  if (halted_ || index <= log_.base().index || index > delivered_index_)
    return;
  QueueWrite();
  protocol::Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = *log_.TermAt(index);
  snapshot.configuration = log_.base().configuration;
  // Uses the configuration as of `index`, which need not be the last one.
  ReplicaLog prefix(log_.base(),
                    log_.Slice(log_.first_index(), index - log_.base().index));
  snapshot.configuration = prefix.LastConfiguration();
  snapshot.state = std::move(state);
  log_.ReplacePrefix(snapshot);
  QueueWrite(std::move(snapshot));
}

void Replica::Send(PeerMessage message, bool wait_for_sync) {
  if (wait_for_sync)
    QueueWrite();
  actions_.messages.push_back(
      {std::move(message), wait_for_sync ? last_write_ : 0});
}

PeerMessage Replica::MakeMessage(PeerMessageKind kind,
                                 const std::string& to) const {
  PeerMessage message;
  message.kind = kind;
  message.from = options_.id;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

void Replica::QueueWrite(std::optional<protocol::Snapshot> snapshot) {
  if (!hard_state_dirty_ && first_unwritten_index_ == 0 && !snapshot)
    return;
  WriteRequest request;
  request.id = ++last_write_;
  if (hard_state_dirty_ || snapshot)
    request.batch.hard_state = hard_state_;
  const std::uint64_t first =
      snapshot ? log_.first_index() : first_unwritten_index_;
  if (first != 0)
    request.batch.entries = log_.Slice(first, log_.last_index());
  request.snapshot = std::move(snapshot);
  pending_writes_.push_back({request.id, log_.last_index(), log_.last_term()});
  actions_.writes.push_back(std::move(request));
  hard_state_dirty_ = false;
  first_unwritten_index_ = 0;
}

void Replica::BecomeFollower(std::uint64_t term,
                             const std::string& leader,
                             Time now) {
  if (term > hard_state_.term) {
    hard_state_ = {term, ""};
    hard_state_dirty_ = true;
  }
  role_ = ReplicaRole::kFollower;
  leader_ = leader;
  lease_.reset();
  progress_.clear();
  transfer_started_.reset();
  ResetElectionTimer(now);
}

void Replica::ResetElectionTimer(Time now) {
  // Spreads the timeouts of the replicas; the hash serves as a deterministic
  // random number.
  const std::uint64_t hash = Hash64(options_.id, ++election_timer_resets_);
  const auto timeout_range =
      static_cast<std::uint64_t>(options_.election_timeout.count());
  election_due_ = now + options_.election_timeout +
                  Duration(static_cast<std::int64_t>(hash % timeout_range));
}

void Replica::SetCommitIndex(std::uint64_t index) {
  if (index <= commit_index_)
    return;
  commit_index_ = index;
  while (delivered_index_ < commit_index_) {
    ++delivered_index_;
    actions_.committed.push_back(log_.At(delivered_index_));
  }
}

void Replica::UpdateConfiguration() {
  configuration_ = log_.LastConfiguration();
}

bool Replica::IsVoter() const {
  return configuration_.IsVoter(options_.id);
}

}  // namespace jacinth::consensus
