#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/clock_reading.h"
#include "core/common/error.h"
#include "core/consensus/formation.h"
#include "core/consensus/replica.h"
#include "core/control/control_actions.h"
#include "core/control/control_event.h"
#include "core/control/control_state.h"
#include "core/control/endpoint_catalog.h"
#include "core/control/entry_delivery.h"
#include "core/control/entry_registry.h"
#include "core/control/rate_share_allocator.h"
#include "core/control/settings_sender.h"
#include "core/control/slice_assignment.h"
#include "core/control/standby_list.h"
#include "core/quarantine/suspect_registry.h"

namespace jacinth::control {

/// Parameters of a control node.
struct ControlOptions {
  consensus::ReplicaOptions replica;
  /// Instances to probe for an existing group. Without open membership, these
  /// are all replicas.
  std::vector<std::string> contacts;
  /// Whether a new group may be created if no contact belongs to one.
  bool may_create_group = true;
  /// Whether replicas other than the contacts may join.
  bool open_membership = false;
  /// Region of each failure domain, for listed endpoints.
  std::map<std::string, std::string> failure_domain_regions;
  Duration entry_timeout{0};
  /// Interval at which the host reads the platform's list while it leads.
  Duration listing_interval{0};
  /// Number of log entries between snapshots.
  std::uint64_t snapshot_entries = 0;
  /// Differs between replicas and between their starts, so that proposal ids
  /// are unique.
  std::uint64_t proposal_seed = 0;
};

/// The control role of one instance: a Raft replica, the state machine that its
/// committed commands are applied to, and the leader's services for entries and
/// operators.
///
/// Uses no sockets, clocks or disks itself: events come in with the time, and
/// the host carries out the returned actions. A message that depends on a write
/// is kept here until that write is synced, so the host can't send it too
/// early.
class ControlNode {
 public:
  /// Fails with kCorruptData if the stored snapshot can't be read.
  static Result<ControlNode> Create(ControlOptions options,
                                    consensus::ReplicaStart start,
                                    ClockReading clock);

  /// Handles an event and returns the I/O to carry out.
  ControlActions Step(const ControlEvent& event, ClockReading clock);

  const consensus::Replica* replica() const {
    return replica_ ? &*replica_ : nullptr;
  }
  const ControlState& state() const { return state_; }
  const std::string& replica_id() const { return options_.replica.id; }
  /// Returns true if this replica holds the leader lease at `now`, so that its
  /// state is current.
  bool HasLeaderLease(Time now) const;
  /// Returns true if this replica leads, though its lease may have lapsed while
  /// it was busy. What entries are sent then is ignored by those that know a
  /// later leader.
  bool Leads() const;
  /// Returns the instance of the leader, or empty if unknown.
  std::string LeaderInstance() const;
  const EndpointCatalog& endpoints() const { return catalog_; }

 private:
  struct PendingChange {
    AdminTicket ticket;
    /// Time until which the change waits for its outcome if this replica no
    /// longer leads.
    Time deadline;
  };
  struct PendingClaim {
    std::string entry;
    std::string attempt;
    std::string traceparent;
    Time started;
  };
  struct PendingFinish {
    std::string entry;
    std::string attempt;
  };
  struct PendingOwners {};
  struct PendingSuspects {};
  using PendingProposal = std::variant<PendingChange,
                                       PendingClaim,
                                       PendingFinish,
                                       PendingOwners,
                                       PendingSuspects>;

  /// An entry and the version of the slice owners that it holds.
  struct SliceBase {
    std::uint64_t base;
    const std::string* entry;
  };

  /// An operator's call that waits for a leader, or for this leader's lease.
  struct WaitingCall {
    std::variant<ChangeRequested, ViewRequested> call;
    Time deadline;
    /// True for a change that was found invalid while the lease had lapsed.
    bool needs_lease = false;
  };

  /// A message that must not be sent before the write `after` is synced.
  struct DeferredMessage {
    consensus::SyncId after;
    OutgoingMessage message;
  };

  ControlNode(ControlOptions options, ClockReading clock);

  // Events and replica actions.
  void On(const MessageReceived& event, ClockReading clock);
  void On(const WritesSynced& event, ClockReading clock);
  void On(const StorageFailed& event, ClockReading clock);
  void On(const Tick& event, ClockReading clock);
  void On(const StopRequested& event, ClockReading clock);

  // Messages from entries.
  void OnHeartbeat(const std::string& from,
                   const protocol::Heartbeat& heartbeat,
                   ClockReading clock);
  void AnswerSeekers(Time now);
  void ReadListForEntry(const protocol::Heartbeat& heartbeat, Time now);
  void TellStandbyList(const EndpointsListed& event, Time now);
  void OnClaim(const std::string& from,
               const protocol::ClaimRequest& request,
               ClockReading clock);
  void OnFinish(const std::string& from,
                const protocol::FinishRequest& request,
                ClockReading clock);

  // Periodic work of the leader, and proposals.
  void TickLeader(ClockReading clock);
  Duration PushInterval() const;
  void ProcessReplicaActions(ClockReading clock);
  void ApplyCommitted(const std::vector<protocol::LogEntry>& entries,
                      ClockReading clock);
  void CompleteProposal(std::uint64_t proposal,
                        const CommandResult& result,
                        Time now);
  bool ProposeCommand(PendingProposal pending,
                      decltype(protocol::Command::body) body,
                      ClockReading clock);
  // Forgets what this replica proposed as the leader, but for the changes whose
  // outcome it may still learn. Without `keep_changes` it tells their callers
  // that the outcome is unknown.
  void AbandonProposals(bool keep_changes, Time now);
  void PushSettings(ClockReading clock);

  // Membership of the control group.
  void On(const ContactsChanged& event, ClockReading clock);
  void OnPeerMessage(const protocol::PeerMessage& message, ClockReading clock);
  void TickFormation(ClockReading clock);
  void TickRejoin(ClockReading clock);
  void CreateGroup(ClockReading clock);
  std::vector<std::string> ReplicaInstances() const;

  // Endpoint list, slice owners and rate limits.
  void On(const EndpointsListed& event, ClockReading clock);
  void TakeListedDrains(const std::vector<protocol::ListedEndpoint>& endpoints,
                        ClockReading clock);
  void PushLists(ClockReading clock);
  std::vector<std::vector<SliceBase>> GroupByBase(
      std::vector<SliceBase> bases) const;
  protocol::HeartbeatReply MakeReply(Time now) const;
  protocol::HeartbeatReply MakeTableReply(
      const std::vector<std::string>& entries,
      Time now) const;
  void AddMembers(EntryDelivery& delivery,
                  const protocol::Heartbeat& heartbeat,
                  protocol::HeartbeatReply& reply,
                  Time now);
  void AddChanges(EntryDelivery& delivery,
                  protocol::HeartbeatReply& reply,
                  Time now);
  void QueueTables(const std::string& entry,
                   EntryDelivery& delivery,
                   const protocol::Heartbeat& heartbeat,
                   Time now);
  void ServeTableQueue(Time now);
  std::size_t SendTables(const EntryDelivery& lacking,
                         const std::vector<std::string>& entries,
                         Time now);
  void DelayTables(std::size_t items, std::size_t receivers, Time now);
  void PushWholeLists(ClockReading clock);
  bool NeedsAllMembers(const EntryDelivery& delivery, Time now) const;
  bool NeedsAllSuspects(const EntryDelivery& delivery, Time now) const;
  bool ServesLists(Time now) const;
  void ResetListsForTerm(ClockReading clock);
  void ForgetDeparted(Time now);
  bool ApplyDrainReports(const std::vector<protocol::DrainReport>& reports,
                         Time now);
  void AllocateRateShares(Time now);
  protocol::RateShareUpdate RateSharesFor(const std::string& entry,
                                          const EntryDelivery& delivery,
                                          Time now) const;
  void RebalanceSlices(Time now);
  std::map<std::string, SliceEndpoint> SliceEndpoints(Time now) const;
  void RecordSliceOwners(ClockReading clock);
  void OnCrashReports(const protocol::Heartbeat& heartbeat, ClockReading clock);
  void RecordSuspects(ClockReading clock);
  std::uint64_t SuspectsVersion() const;
  bool KeepsSuspectsSince(std::uint64_t version) const;
  void AddSuspects(EntryDelivery& delivery,
                   protocol::HeartbeatReply& reply,
                   ClockReading clock);
  protocol::SuspectUpdate SuspectsFor(std::uint64_t base,
                                      ClockReading clock) const;
  bool IsFailureDomainDrained(const std::string& region,
                              const std::string& domain) const;

  // Log records.
  log::Record& LogEvent(std::string_view event);
  void LogStateChanges(Time now);
  void LogNewDrains(const std::vector<protocol::ListedEndpoint>& listed);
  void LogChange(AdminTicket ticket, const ChangeOutcome& outcome);
  void LogRefusal(AdminTicket ticket, const Error& error);

  // Messages to entries.
  void SendToEntry(const std::string& entry, protocol::Envelope envelope);
  void AddSettings(const std::string& entry,
                   protocol::HeartbeatReply& reply,
                   Time now);
  void AddAskedSettings(const protocol::Heartbeat& heartbeat,
                        protocol::HeartbeatReply& reply);
  protocol::SettingsUpdate MakeSettingsUpdate(std::uint64_t held_revision);

  // Administration calls.
  void On(const ChangeRequested& event, ClockReading clock);
  void On(const ViewRequested& event, ClockReading clock);
  bool CanServe(const WaitingCall& waiting, Time now) const;
  bool IsGrowing(Time now) const;
  void ServeOrWait(WaitingCall waiting, ClockReading clock);
  void ServeChange(const ChangeRequested& event,
                   Time deadline,
                   ClockReading clock);
  void ServeWaitingCalls(ClockReading clock);
  void ResolveAbandonedChanges(Time now);
  bool HasWaitingCalls() const;
  bool HearsOtherLeader(Time now) const;
  void Refuse(AdminTicket ticket, ErrorKind kind, std::string detail, Time now);
  std::optional<Error> ValidateChange(const ChangeRequested& event) const;
  ControlView MakeView(Time now) const;

  ControlOptions options_;
  std::optional<consensus::Formation> formation_;
  std::optional<consensus::Replica> replica_;
  ControlState state_;
  EntryRegistry registry_;
  EndpointCatalog catalog_;
  /// Time at which the newest reading of the list in `catalog_` began.
  Time list_read_at_{};
  /// Used while this replica keeps no lists for entries.
  StandbyList standby_list_;
  SettingsSender settings_sender_;
  SliceAssignment slices_;
  RateShareAllocator rate_shares_;
  quarantine::SuspectRegistry suspects_;
  /// By entry instance.
  std::map<std::string, EntryDelivery> deliveries_;
  /// Time of the last heartbeat of each entry that came while no leader was
  /// known.
  std::map<std::string, Time> seekers_;
  /// Entries that wait for whole tables of endpoints or slice owners.
  std::deque<std::string> table_queue_;
  /// Time from which the next whole table may be sent.
  Time next_table_{};
  /// Time from which whole lists of members and suspects may be sent.
  Time next_whole_lists_{};
  /// Term for which `registry_` and `catalog_` were reset.
  std::uint64_t registry_term_ = 0;
  /// Time since which this replica has led, if it does.
  Time led_since_{};
  std::uint64_t last_proposal_ = 0;
  /// By proposal id.
  std::map<std::uint64_t, PendingProposal> pending_proposals_;
  std::vector<WaitingCall> waiting_calls_;
  std::uint64_t pushed_revision_ = 0;
  /// INI text of the settings tree at `tree_text_revision_`, and its Hash64.
  std::string tree_text_;
  std::uint64_t tree_checksum_ = 0;
  std::uint64_t tree_text_revision_ = 0;
  std::deque<DeferredMessage> deferred_messages_;
  consensus::SyncId synced_ = 0;
  bool storage_failed_ = false;
  std::optional<Time> stop_deadline_;
  Time next_admission_{};
  Time next_rejoin_probe_{};
  Time next_push_{};
  Time next_owner_record_{};
  Time last_rebalance_{};
  /// Term for which `slices_`, `rate_shares_` and `suspects_` were reset.
  std::uint64_t lists_term_ = 0;
  // State at the time of the last log record about it.
  std::string logged_leader_;
  bool logged_lease_ = false;
  protocol::Configuration logged_replicas_;
  ControlActions actions_;
};

}  // namespace jacinth::control
