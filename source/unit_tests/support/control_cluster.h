#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/control/control_node.h"
#include "core/protocol/location.h"
#include "core/storage/log_store.h"

namespace jacinth::test {

/// Simulates a group of control nodes, by default three, with virtual time,
/// network and disks. The order of messages and syncs depends only on a seed;
/// tests add crashes, network partitions and freezes.
class ControlCluster {
 public:
  /// Called for each message to an instance that isn't a replica.
  using EntryHandler =
      std::function<void(const std::string& entry, const protocol::Envelope&)>;
  using ReplyHandler = std::function<void(const control::AdminReply&)>;
  /// Called when a node wants the platform's endpoint list to be read now.
  using ListHandler = std::function<void(std::size_t machine)>;
  /// Called after every step of a node, to check invariants.
  using Check = std::function<void(ControlCluster&)>;

  static constexpr Duration kElectionTimeout = 200ms;
  static constexpr Duration kHeartbeat = 20ms;
  static constexpr Duration kReplaceAfter = 600ms;

  /// Number of machines and membership of the group.
  struct Layout {
    std::size_t machines = 3;
    /// Number of contacts, which are the first machines. Lower than `machines`
    /// if other machines may join.
    std::size_t contacts = 3;
    /// Number of voters up to which the group grows; 0 for a fixed group of the
    /// contacts.
    std::size_t target_voters = 0;
    Duration election_timeout = kElectionTimeout;
    Duration heartbeat = kHeartbeat;
    Duration replace_after = kReplaceAfter;
    /// Tells where a machine stands; nullptr if the machines have no locations.
    protocol::Location (*locate)(std::size_t machine) = nullptr;
    Duration listing_interval{0};
  };

  explicit ControlCluster(std::uint64_t seed);
  ControlCluster(std::uint64_t seed, Layout layout);

  EntryHandler on_entry_message;
  ReplyHandler on_admin_reply;
  ListHandler on_list_endpoints;
  Check check;

  /// Shares of messages that are lost and that are duplicated.
  int loss_percent = 2;
  int duplicate_percent = 2;

  /// Time that a sync of the disk takes. Writes that are queued meanwhile share
  /// the next one, as with the product's writer. Without it, each write takes a
  /// random time of a few milliseconds.
  std::optional<Duration> sync_time;

  /// Advances the virtual time by `duration`.
  void Run(Duration duration);

  /// Kills a process; unsynced writes are lost.
  void Crash(std::size_t machine);
  /// Starts a crashed process from the contents of its disk.
  void Restart(std::size_t machine);
  /// Kills a process and wipes its disk.
  void WipeDisk(std::size_t machine);
  /// Suspends a process for `duration`; messages to it wait.
  void Freeze(std::size_t machine, Duration duration);
  /// Completes no sync of a machine's disk until ResumeDisk(). Its process goes
  /// on.
  void StallDisk(std::size_t machine) { stalled_disks_.insert(machine); }
  void ResumeDisk(std::size_t machine) { stalled_disks_.erase(machine); }
  bool IsDiskStalled(std::size_t machine) const {
    return stalled_disks_.count(machine) != 0;
  }
  /// Drops all messages from one machine to the other.
  void BlockLink(std::size_t from, std::size_t to);
  void UnblockLinks();

  /// Passes an event to a machine's node as its host would.
  void InjectEvent(std::size_t machine, const control::ControlEvent& event);
  /// Sends a message from an entry.
  void SendFromEntry(const std::string& entry,
                     std::size_t machine,
                     protocol::Envelope envelope);

  /// Returns the machine that holds the leader lease, or nothing.
  std::optional<std::size_t> Leader() const;
  /// Returns the node, or nullptr while the process is down.
  const control::ControlNode* node(std::size_t machine) const;
  bool HoldsLease(std::size_t machine) const;
  bool IsUp(std::size_t machine) const {
    return machines_[machine].node.has_value();
  }
  bool IsFrozen(std::size_t machine) const {
    return now_ < machines_[machine].frozen_until;
  }
  /// Returns true if the machine is a voter under its current incarnation and
  /// no other running machine has a higher commit index.
  bool IsCaughtUp(std::size_t machine) const;
  /// Returns the state of all machines, one line each, for messages of failed
  /// checks.
  std::string Describe() const;
  std::size_t size() const { return machines_.size(); }
  Time now() const { return now_; }
  const std::string& instance(std::size_t machine) const {
    return machines_[machine].instance;
  }

 private:
  struct PendingWrite {
    consensus::WriteRequest request;
    Time due;
  };
  struct Machine {
    std::string instance;
    int incarnation = 1;
    int starts = 0;
    std::optional<control::ControlNode> node;
    storage::RecoveredLog disk;
    std::vector<PendingWrite> writes;
    Time frozen_until{};
    /// Speed of the machine's clock relative to virtual time, in thousandths.
    int clock_rate = 1000;
    WallMillis wall_offset = 0;
  };
  struct InFlightMessage {
    std::string from;
    std::size_t to;
    protocol::Envelope envelope;
    Time due;
  };

  ClockReading ClockOf(const Machine& machine) const;
  void Step(std::size_t machine, const control::ControlEvent& event);
  void ExecuteActions(std::size_t machine, control::ControlActions actions);
  void Deliver();
  void SyncWrites(std::size_t machine);
  static void ApplyWrite(storage::RecoveredLog& disk,
                         const consensus::WriteRequest& request);
  bool RandomChance(int percent);
  Duration RandomDelay(std::int64_t max_ms);
  Time NextSyncDue(const Machine& machine);

  std::mt19937_64 random_;
  Layout layout_;
  static constexpr Time kStart{std::chrono::seconds(1000)};

  Time now_ = kStart;
  std::vector<Machine> machines_;
  std::vector<InFlightMessage> network_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::set<std::size_t> stalled_disks_;
};

}  // namespace jacinth::test
