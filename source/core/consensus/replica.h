#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/consensus/leader_lease.h"
#include "core/consensus/replica_actions.h"
#include "core/consensus/replica_log.h"
#include "core/consensus/replica_options.h"
#include "core/protocol/hard_state.h"

namespace jacinth::consensus {

/// What a replica had on its disk when it started.
struct ReplicaStart {
  protocol::HardState hard_state;
  protocol::Snapshot snapshot;
  std::vector<protocol::LogEntry> entries;
};

/// The part a replica plays in its term.
enum class ReplicaRole {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

/// One member of the replication group, after the Raft algorithm (Ongaro and
/// Ousterhout, 2014) with pre-vote, check-quorum and leases.
///
/// Holds no socket, clock or disk: every call takes the time, and what must be
/// done gathers until TakeActions. Not thread-safe.
class Replica {
 public:
  Replica(ReplicaOptions options, ReplicaStart start, Time now);

  /// Handles a message from another replica.
  void OnMessage(const protocol::PeerMessage& message, Time now);

  /// Handles the passing of time; call at NextWake() or more often.
  void OnTick(Time now);

  /// All writes up to `id` are synced.
  void OnSynced(SyncId id, Time now);

  /// A write failed: from now on the replica neither votes nor acknowledges.
  void OnStorageFailure();

  /// Appends a command; returns its log index or kNotLeader.
  Result<std::uint64_t> Propose(std::string payload, Time now);

  /// Adds a replica as learner, and once it has caught up makes it a voter in
  /// place of any other replica of the same instance, or of the voter that has
  /// been silent for longest if the group is full. Call again until done.
  void AdmitReplica(const std::string& id, Time now);

  /// Drops a learner that has been silent for `replace_after`; it asks again
  /// when it is back.
  void DropSilentLearner(Time now);

  /// Starts handing the leadership to the most advanced voter.
  void TransferLeadership(Time now);

  /// The owner has made a snapshot of the state after `index` was applied.
  void Compact(std::uint64_t index, std::string state);

  /// Moves out everything to be done since the last call.
  ReplicaActions TakeActions();

  /// Time at which OnTick is wanted.
  Time NextWake() const;

  /// True if no other replica can have become leader before `now`, and all
  /// entries committed in earlier terms have been handed out.
  bool HoldsLease(Time now) const;

  ReplicaRole role() const { return role_; }
  bool halted() const { return halted_; }
  std::uint64_t term() const { return hard_state_.term; }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t last_index() const { return log_.last_index(); }
  /// Index up to which entries were handed out to be applied.
  std::uint64_t applied_index() const { return handed_out_index_; }
  std::uint64_t first_index() const { return log_.first_index(); }
  const std::string& id() const { return options_.id; }
  /// Id of the leader of the current term, or empty.
  const std::string& leader() const { return leader_; }
  /// When the replica last heard from a leader, or its start.
  Time leader_contact() const { return leader_contact_; }
  const protocol::Configuration& configuration() const {
    return configuration_;
  }
  /// On the leader: true if the configuration is committed, so that it holds
  /// whatever is lost next.
  bool ConfigurationSettled() const;

 private:
  struct Progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::size_t inflight = 0;
    Time last_advance{};
    /// Set while a snapshot is on its way.
    std::optional<Time> snapshot_sent;
  };

  struct PendingWrite {
    SyncId id;
    std::uint64_t last_index;
    std::uint64_t last_term;
  };

  // replica.cc
  void Send(protocol::PeerMessage message, bool wait_for_sync);
  protocol::PeerMessage MakeMessage(protocol::PeerMessageKind kind,
                                    const std::string& to) const;
  void Write(std::optional<protocol::Snapshot> snapshot = std::nullopt);
  void BecomeFollower(std::uint64_t term, const std::string& leader, Time now);
  void ResetElectionTimer(Time now);
  void SetCommitIndex(std::uint64_t index);
  void UpdateConfiguration();
  bool IsVoter() const;

  // replica_election.cc
  void StartPreVote(Time now);
  void StartElection(bool transfer, Time now);
  void OnVoteRequest(const protocol::PeerMessage& message, Time now);
  void OnVoteReply(const protocol::PeerMessage& message, Time now);
  void CountVotes(Time now);
  bool HearsLeader(Time now) const;

  // replica_leader.cc
  void BecomeLeader(Time now);
  std::uint64_t AppendOwn(protocol::LogEntryKind kind, std::string payload);
  void Broadcast(Time now);
  void SendAppend(const std::string& to, bool even_if_empty, Time now);
  void SendSnapshot(const std::string& to, Time now);
  void SendBareHeartbeat(const std::string& to, Time now);
  void OnAppendReply(const protocol::PeerMessage& message, Time now);
  void AdvanceCommit();
  void LeaderTick(Time now);
  std::string VoterToReplace(const std::string& learner, Time now) const;
  void ChangeConfiguration(const protocol::Configuration& configuration,
                           Time now);

  // replica_follower.cc
  void OnAppend(const protocol::PeerMessage& message, Time now);
  void OnSnapshot(const protocol::PeerMessage& message, Time now);
  void ReplyToAppend(const protocol::PeerMessage& message,
                     bool accepted,
                     std::uint64_t index);

  ReplicaOptions options_;
  ReplicaRole role_ = ReplicaRole::kFollower;
  bool halted_ = false;

  protocol::HardState hard_state_;
  bool hard_state_dirty_ = false;
  ReplicaLog log_;
  protocol::Configuration configuration_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t handed_out_index_ = 0;
  /// First entry not yet part of a write; 0 if none.
  std::uint64_t unwritten_from_ = 0;
  std::uint64_t stable_index_ = 0;
  SyncId last_write_ = 0;
  SyncId last_synced_ = 0;
  std::deque<PendingWrite> pending_writes_;

  std::string leader_;
  Time leader_contact_{};
  Time election_due_{};
  std::uint64_t elections_ = 0;

  std::set<std::string> votes_;
  bool transfer_election_ = false;
  /// Write that holds the candidate's own vote.
  SyncId own_vote_write_ = 0;

  std::optional<LeaderLease> lease_;
  std::map<std::string, Progress> progress_;
  Time heartbeat_due_{};
  std::uint64_t first_index_of_term_ = 0;
  /// Set while the leadership is being handed over.
  std::optional<Time> transfer_started_;

  ReplicaActions actions_;
};

}  // namespace jacinth::consensus
