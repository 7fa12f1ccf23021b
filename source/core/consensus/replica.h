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
#include "core/consensus/confirmation_watch.h"
#include "core/consensus/leader_lease.h"
#include "core/consensus/replica_actions.h"
#include "core/consensus/replica_log.h"
#include "core/consensus/replica_options.h"
#include "core/consensus/voter_spread.h"
#include "core/protocol/hard_state.h"

namespace jacinth::consensus {

/// Persistent state that a replica starts from.
struct ReplicaStart {
  protocol::HardState hard_state;
  protocol::Snapshot snapshot;
  std::vector<protocol::LogEntry> entries;
};

/// Role of a replica in its current term.
enum class ReplicaRole {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

/// One member of the control group. Implements the Raft algorithm (Ongaro
/// and Ousterhout, 2014) with pre-vote, check-quorum and leader leases.
///
/// Uses no socket, clock or disk: calls take the current time, and actions for
/// the owner accumulate until TakeActions(). Not thread-safe.
class Replica {
 public:
  Replica(ReplicaOptions options, ReplicaStart start, Time now);

  /// Handles a message from another replica.
  void OnMessage(const protocol::PeerMessage& message, Time now);

  /// Handles timeouts. Must be called at NextTickTime() or earlier.
  void OnTick(Time now);

  /// Handles the completion of all writes up to `id`, which are now synced.
  void OnSynced(SyncId id, Time now);

  /// Handles a failed write: halts the replica, which neither votes nor
  /// acknowledges entries from then on.
  void OnStorageFailure();

  /// Appends a command. Returns its log index, or kNotLeader.
  Result<std::uint64_t> Propose(std::string payload, Time now);

  /// Adds a replica as a learner at once and, when it has caught up and the
  /// last change of the voters is committed, promotes it to a voter. Has caught
  /// up what has all that was committed a short time ago: it never has all
  /// entries while more are appended during each of its syncs. It replaces any
  /// other replica of the same instance. If the group is full, it is added only
  /// while a voter is lost, or if the group then bears the loss of a region or
  /// failure domain better; DropSurplusVoter() then removes a voter. Lost is
  /// who has been silent, or has confirmed none of the entries that it lacks,
  /// for `replace_after`. Takes one step of this per call, so it must be called
  /// repeatedly.
  void AdmitReplica(const std::string& id, Time now);

  /// Removes a voter from a group that has more than `target_voters`: the one
  /// that has been lost for longest or, if none is, the one without which
  /// the voters stand furthest apart.
  void DropSurplusVoter(Time now);

  /// Removes a learner that has been silent for `replace_after`. The learner
  /// requests admission again when it returns.
  void DropSilentLearner(Time now);

  /// Starts the transfer of the leadership to the most advanced voter that
  /// isn't lost.
  void TransferLeadership(Time now);

  /// Replaces the log up to `index` by a snapshot of the state machine's state
  /// after `index` was applied.
  void Compact(std::uint64_t index, std::string state);

  /// Removes and returns the actions that have accumulated since the last call.
  ReplicaActions TakeActions();

  /// Returns the time at which OnTick() must be called next.
  Time NextTickTime() const;

  /// Returns true if no other replica can have become leader before `now`, and
  /// all entries committed in earlier terms have been delivered.
  bool HoldsLease(Time now) const;

  /// Returns true if this replica is the leader of its term, as far as it
  /// knows, and all entries committed in earlier terms have been delivered.
  /// Unlike HoldsLease(), doesn't exclude that a later leader has been elected,
  /// and so doesn't end while this replica is busy.
  bool Leads() const;

  ReplicaRole role() const { return role_; }
  bool halted() const { return halted_; }
  std::uint64_t term() const { return hard_state_.term; }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t last_index() const { return log_.last_index(); }
  /// Index of the last entry that was delivered in ReplicaActions::committed.
  std::uint64_t applied_index() const { return delivered_index_; }
  std::uint64_t first_index() const { return log_.first_index(); }
  const std::string& id() const { return options_.id; }
  /// Id of the leader of the current term; empty if unknown.
  const std::string& leader() const { return leader_; }
  /// Time of the last message from a leader, or of the replica's start.
  Time last_leader_contact() const { return last_leader_contact_; }
  const protocol::Configuration& configuration() const {
    return configuration_;
  }
  /// On the leader, returns true if the voters of the current configuration are
  /// committed and thus survive further failures. Learners count for no
  /// majority, so that no change needs to wait for theirs.
  bool ConfigurationSettled() const;

 private:
  struct Progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    /// Index that was committed at `goal_set`, which this replica is to reach.
    std::uint64_t goal = 0;
    Time goal_set{};
    /// Time of the last goal that was reached: the replica has all that was
    /// committed then.
    std::optional<Time> reached;
    std::size_t inflight = 0;
    /// Time from which messages are sent to this replica.
    Time added{};
    /// Time since which no reply has confirmed further entries, while some are
    /// sent and unconfirmed.
    Time waiting_since{};
    ConfirmationWatch confirmations{Time{}};
    /// Where this replica stands, once it has told.
    protocol::Location location;
    /// Set while a snapshot is in flight.
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
  void QueueWrite(std::optional<protocol::Snapshot> snapshot = std::nullopt);
  void BecomeFollower(std::uint64_t term, const std::string& leader, Time now);
  void ResetElectionTimer(Time now);
  bool IsVoteSynced() const { return last_synced_ >= vote_write_; }
  void SetCommitIndex(std::uint64_t index);
  void UpdateConfiguration();
  bool IsVoter() const;

  // replica_election.cc
  void StartPreVote(Time now);
  void StartElection(bool transfer, Time now);
  void RequestVotes(Time now);
  bool IsCandidate() const;
  void OnVoteRequest(const protocol::PeerMessage& message, Time now);
  void OnVoteReply(const protocol::PeerMessage& message, Time now);
  void CountVotes(Time now);
  bool HasRecentLeaderContact(Time now) const;

  // replica_leader.cc
  void BecomeLeader(Time now);
  std::uint64_t AppendLocally(protocol::LogEntryKind kind, std::string payload);
  void Broadcast(Time now);
  void SendAppend(const std::string& to, bool even_if_empty, Time now);
  void SendSnapshot(const std::string& to, Time now);
  void SendEmptyHeartbeat(const std::string& to, Time now);
  void OnAppendReply(const protocol::PeerMessage& message, Time now);
  static void AdvanceGoal(Progress& progress,
                          std::uint64_t commit_index,
                          Time now);
  void AdvanceCommit();
  void LeaderTick(Time now);

  // replica_membership.cc
  std::string PreviousIncarnation(const std::string& learner) const;
  bool NeedsVoter(Time now) const;
  bool MayBecomeVoter(const std::string& learner, Time now) const;
  bool MayAddVoter(Time now) const;
  bool HasCaughtUp(const std::string& learner, Time now) const;
  void ChangeConfiguration(const protocol::Configuration& configuration,
                           Time now);

  // replica_spread.cc
  bool IsBestSuccessor(const std::string& learner, Time now) const;
  bool SpreadsVoters(const std::string& learner, Time now) const;
  bool IsCalm(Time now) const;
  VoterSpread SpreadWith(const std::string& learner,
                         const std::string& dropped) const;
  VoterSpread BestSpreadWith(const std::string& learner) const;
  std::string VoterToSpare(Time now) const;
  protocol::Location LocationOf(const std::string& id) const;

  // replica_watch.cc
  void WatchConfirmations(Time now);
  Duration MedianWait() const;
  std::string WeakestVoter(Time now) const;
  Duration Overdue(const std::string& id, Time now) const;
  bool IsLost(const std::string& id, Time now) const;
  bool IsSilent(const std::string& id, Duration duration, Time now) const;

  // replica_follower.cc
  void OnAppend(const protocol::PeerMessage& message, Time now);
  void OnSnapshot(const protocol::PeerMessage& message, Time now);
  void TruncateFrom(std::uint64_t index);
  void AcceptAppend(const protocol::PeerMessage& message,
                    std::uint64_t matched);
  void ReplyToAppend(const protocol::PeerMessage& message,
                     bool accepted,
                     std::uint64_t index,
                     bool wait_for_sync = true);

  ReplicaOptions options_;
  ReplicaRole role_ = ReplicaRole::kFollower;
  bool halted_ = false;

  protocol::HardState hard_state_;
  bool hard_state_dirty_ = false;
  ReplicaLog log_;
  protocol::Configuration configuration_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t delivered_index_ = 0;
  /// Index of the first entry that is not yet part of a write; 0 if none.
  std::uint64_t first_unwritten_index_ = 0;
  /// Index of the last entry that is synced on this replica.
  std::uint64_t stable_index_ = 0;
  SyncId last_write_ = 0;
  SyncId last_synced_ = 0;
  std::deque<PendingWrite> pending_writes_;

  std::string leader_;
  Time last_leader_contact_{};
  Time election_due_{};
  /// Time at which a candidate repeats its requests for votes.
  Time vote_requests_due_{};
  std::uint64_t election_timer_resets_ = 0;

  std::set<std::string> votes_;
  bool transfer_election_ = false;
  /// Write that contains this replica's last vote, and the time at which it was
  /// queued.
  SyncId vote_write_ = 0;
  Time vote_queued_{};

  std::optional<LeaderLease> lease_;
  std::map<std::string, Progress> progress_;
  /// Watches this leader's own disk.
  ConfirmationWatch own_confirmations_{Time{}};
  /// Time without a confirmation after which a disk is taken to stand still.
  Duration max_wait_{0};
  /// Watches whether this leader commits its entries.
  ConfirmationWatch commits_{Time{}};
  Time heartbeat_due_{};
  std::uint64_t first_index_of_term_ = 0;
  /// Index of the last entry of this term that changes the voters; 0 if there
  /// is none.
  std::uint64_t last_voter_change_ = 0;
  /// Time of that change, or of the start of the term.
  Time voters_changed_{};
  /// Set while a leadership transfer is in progress.
  std::optional<Time> transfer_started_;

  ReplicaActions actions_;
};

}  // namespace jacinth::consensus
