#include "core/consensus/replica.h"

namespace jacinth::consensus {

using protocol::PeerMessage;
using protocol::PeerMessageKind;

void Replica::StartPreVote(Time now) {
  role_ = ReplicaRole::kPreCandidate;
  leader_.clear();
  votes_ = {options_.id};
  ResetElectionTimer(now);
  RequestVotes(now);
  CountVotes(now);
}

void Replica::StartElection(bool transfer, Time now) {
  role_ = ReplicaRole::kCandidate;
  leader_.clear();
  transfer_election_ = transfer;
  hard_state_ = {hard_state_.term + 1, options_.id};
  hard_state_dirty_ = true;
  votes_ = {options_.id};
  ResetElectionTimer(now);
  QueueWrite();
  vote_write_ = last_write_;
  vote_queued_ = now;
  RequestVotes(now);
}

// Asks the voters that haven't granted their vote yet. The requests are
// repeated, as those to voters without an established link are lost.
void Replica::RequestVotes(Time now) {
  vote_requests_due_ = now + options_.heartbeat;
  const bool pre_vote = role_ == ReplicaRole::kPreCandidate;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id || votes_.count(voter) != 0)
      continue;
    PeerMessage message = MakeMessage(
        pre_vote ? PeerMessageKind::kPreVote : PeerMessageKind::kVote, voter);
    if (pre_vote)
      message.term = hard_state_.term + 1;
    else
      message.transfer = transfer_election_;
    message.index = log_.last_index();
    message.log_term = log_.last_term();
    Send(std::move(message), /*wait_for_sync=*/!pre_vote);
  }
}

bool Replica::IsCandidate() const {
  return role_ == ReplicaRole::kPreCandidate ||
         role_ == ReplicaRole::kCandidate;
}

bool Replica::HasRecentLeaderContact(Time now) const {
  return now < last_leader_contact_ + options_.election_timeout;
}

void Replica::OnVoteRequest(const PeerMessage& message, Time now) {
  // The leader lease relies on ignoring these requests, for votes as well as
  // for pre-votes.
  const bool leads_without_transfer =
      role_ == ReplicaRole::kLeader && !transfer_started_;
  if ((HasRecentLeaderContact(now) || leads_without_transfer) &&
      !message.transfer)
    return;
  const bool pre_vote = message.kind == PeerMessageKind::kPreVote;
  if (!pre_vote && message.term > hard_state_.term)
    BecomeFollower(message.term, "", now);
  const bool newer_term = message.term > hard_state_.term;
  const bool vote_available =
      message.term == hard_state_.term &&
      (hard_state_.vote.empty() || hard_state_.vote == message.from);
  const bool may_vote = pre_vote ? newer_term : vote_available;
  const bool granted =
      may_vote && log_.IsUpToDate(message.log_term, message.index);
  if (granted && !pre_vote && hard_state_.vote.empty()) {
    hard_state_.vote = message.from;
    hard_state_dirty_ = true;
    QueueWrite();
    vote_write_ = last_write_;
    vote_queued_ = now;
    ResetElectionTimer(now);
  }
  PeerMessage reply = MakeMessage(
      pre_vote ? PeerMessageKind::kPreVoteReply : PeerMessageKind::kVoteReply,
      message.from);
  if (pre_vote && granted)
    reply.term = message.term;
  reply.granted = granted;
  Send(std::move(reply), /*wait_for_sync=*/!pre_vote);
}

void Replica::OnVoteReply(const PeerMessage& message, Time now) {
  const bool pre_vote = message.kind == PeerMessageKind::kPreVoteReply;
  if (!message.granted) {
    if (message.term > hard_state_.term)
      BecomeFollower(message.term, "", now);
    return;
  }
  const ReplicaRole expected_role =
      pre_vote ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  const std::uint64_t expected_term =
      pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (role_ != expected_role || message.term != expected_term)
    return;
  votes_.insert(message.from);
  CountVotes(now);
}

void Replica::CountVotes(Time now) {
  if (role_ == ReplicaRole::kCandidate && !IsVoteSynced())
    return;
  std::size_t granted = 0;
  for (const std::string& voter : configuration_.voters)
    granted += votes_.count(voter);
  if (granted < configuration_.QuorumSize())
    return;
  if (role_ == ReplicaRole::kPreCandidate)
    StartElection(/*transfer=*/false, now);
  else if (role_ == ReplicaRole::kCandidate)
    BecomeLeader(now);
}

}  // namespace jacinth::consensus
