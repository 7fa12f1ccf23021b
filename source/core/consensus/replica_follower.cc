#include <algorithm>
#include <utility>

#include "core/consensus/replica.h"

namespace jacinth::consensus {

using protocol::LogEntry;
using protocol::LogEntryKind;
using protocol::PeerMessage;
using protocol::PeerMessageKind;

void Replica::OnAppend(const PeerMessage& message, Time now) {
  if (message.term < hard_state_.term) {
    ReplyToAppend(message, /*accepted=*/false, log_.last_index());
    return;
  }
  if (role_ != ReplicaRole::kFollower)
    BecomeFollower(message.term, message.from, now);
  leader_ = message.from;
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  if (message.index < log_.base().index) {
    // All entries up to the snapshot are committed, so they match the leader's.
    AcceptAppend(message, log_.base().index);
    return;
  }
  if (log_.TermAt(message.index) != message.log_term) {
    const std::uint64_t previous_index =
        message.index == 0 ? 0 : message.index - 1;
    // The hint is never below the commit index, because committed entries match
    // the leader's.
    const std::uint64_t hint =
        std::max(commit_index_, std::min(previous_index, log_.last_index()));
    // Promises nothing that would have to be on disk.
    ReplyToAppend(message, /*accepted=*/false, hint, /*wait_for_sync=*/false);
    return;
  }
  bool configuration_changed = false;
  for (const LogEntry& entry : message.entries) {
    if (log_.TermAt(entry.index) == entry.term)
      continue;
    if (entry.index <= commit_index_) {
      // Committed entries never change. Halts the replica rather than lose one.
      OnStorageFailure();
      return;
    }
    if (entry.index <= log_.last_index()) {
      TruncateFrom(entry.index);
      configuration_changed = true;
    }
    if (first_unwritten_index_ == 0 || entry.index < first_unwritten_index_)
      first_unwritten_index_ = entry.index;
    configuration_changed |= entry.kind == LogEntryKind::kConfiguration;
    log_.Append(entry);
  }
  if (configuration_changed)
    UpdateConfiguration();
  const std::uint64_t matched = message.index + message.entries.size();
  SetCommitIndex(std::min(message.commit, matched));
  AcceptAppend(message, matched);
}

// Removes the entries from `index` on. Writes that are under way vouch for none
// of them any more, even if a later leader sends the same ones again.
void Replica::TruncateFrom(std::uint64_t index) {
  log_.TruncateFrom(index);
  stable_index_ = std::min(stable_index_, index - 1);
  for (PendingWrite& write : pending_writes_) {
    if (write.last_index < index)
      continue;
    write.last_index = index - 1;
    write.last_term = log_.last_term();
  }
}

// Answers a message that added nothing to the log at once, with what is on
// disk: the leader would take the time of a sync for silence.
void Replica::AcceptAppend(const PeerMessage& message, std::uint64_t matched) {
  const bool has_unwritten = hard_state_dirty_ || first_unwritten_index_ != 0;
  if (has_unwritten) {
    ReplyToAppend(message, /*accepted=*/true, matched);
    return;
  }
  ReplyToAppend(message, /*accepted=*/true, std::min(matched, stable_index_),
                /*wait_for_sync=*/false);
}

void Replica::OnSnapshot(const PeerMessage& message, Time now) {
  if (message.term < hard_state_.term) {
    ReplyToAppend(message, /*accepted=*/false, log_.last_index());
    return;
  }
  if (role_ != ReplicaRole::kFollower)
    BecomeFollower(message.term, message.from, now);
  leader_ = message.from;
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  if (message.snapshot.index > commit_index_) {
    QueueWrite();
    // Entries beyond the committed ones may be discarded with the prefix.
    stable_index_ = std::min(stable_index_, commit_index_);
    log_.ReplacePrefix(message.snapshot);
    UpdateConfiguration();
    commit_index_ = message.snapshot.index;
    delivered_index_ = commit_index_;
    actions_.restore = message.snapshot;
    actions_.committed.clear();
    QueueWrite(message.snapshot);
  }
  ReplyToAppend(message, /*accepted=*/true, message.snapshot.index);
}

void Replica::ReplyToAppend(const PeerMessage& message,
                            bool accepted,
                            std::uint64_t index,
                            bool wait_for_sync) {
  PeerMessage reply = MakeMessage(PeerMessageKind::kAppendReply, message.from);
  reply.granted = accepted;
  reply.index = index;
  reply.round = message.round;
  if (message.asks_location)
    reply.location = options_.location;
  Send(std::move(reply), wait_for_sync);
}

}  // namespace jacinth::consensus
