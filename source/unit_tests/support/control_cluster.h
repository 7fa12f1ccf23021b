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
#include "core/storage/log_store.h"

namespace jacinth::test {

/// Three control nodes without sockets or disks, under a seeded shuffle of
/// messages, syncs, crashes, cuts and freezes.
class ControlCluster {
 public:
  /// Called for each message to an instance that isn't a replica.
  using EntryHandler =
      std::function<void(const std::string& entry, const protocol::Envelope&)>;
  using ReplyHandler = std::function<void(const control::AdminReply&)>;
  /// Called after every step of a node, to check what must always hold.
  using Check = std::function<void(ControlCluster&)>;

  /// How many machines there are, and what they are told of each other.
  struct Shape {
    std::size_t machines = 3;
    /// The first machines, which all know; fewer than all if others may join.
    std::size_t contacts = 3;
    /// Voters that the group grows to; 0 for all contacts and no more.
    std::size_t target_voters = 0;
  };

  explicit ControlCluster(std::uint64_t seed);
  ControlCluster(std::uint64_t seed, Shape shape);

  EntryHandler on_entry_message;
  ReplyHandler on_admin_reply;
  Check check;

  /// Share of messages lost and sent twice, in percent.
  int loss_percent = 2;
  int duplicate_percent = 2;

  /// Lets `duration` pass.
  void Run(Duration duration);

  /// Ends a process; unsynced writes are lost.
  void Crash(std::size_t machine);
  /// Starts a crashed process from what its disk holds.
  void Restart(std::size_t machine);
  /// Ends a process and wipes its disk.
  void LoseDisk(std::size_t machine);
  /// The process does nothing for `duration`; messages to it wait.
  void Freeze(std::size_t machine, Duration duration);
  /// Messages from one machine to the other are lost.
  void Cut(std::size_t from, std::size_t to);
  void HealAll();

  /// Hands an event to a machine as if it came from its rim.
  void Give(std::size_t machine, const control::ControlEvent& event);
  /// Sends a message from an entry.
  void SendFromEntry(const std::string& entry,
                     std::size_t machine,
                     protocol::Envelope envelope);

  /// The machine that leads and holds its lease, or nothing.
  std::optional<std::size_t> Leader() const;
  /// The node, or nullptr while the process is down.
  const control::ControlNode* node(std::size_t machine) const;
  bool HoldsLease(std::size_t machine) const;
  bool IsUp(std::size_t machine) const {
    return machines_[machine].node.has_value();
  }
  bool IsFrozen(std::size_t machine) const {
    return now_ < machines_[machine].frozen_until;
  }
  /// True if the machine is a voter under its present identity and has applied
  /// all that is committed anywhere.
  bool IsCaughtUp(std::size_t machine) const;
  /// One line a machine, for the report of a failed check.
  std::string Describe() const;
  std::size_t size() const { return machines_.size(); }
  Time now() const { return now_; }
  const std::string& instance(std::size_t machine) const {
    return machines_[machine].instance;
  }

  static constexpr Duration kElectionTimeout = 200ms;
  static constexpr Duration kHeartbeat = 20ms;
  static constexpr Duration kReplaceAfter = 600ms;

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
    /// Speed of the machine's clock against true time, in thousandths.
    int clock_rate = 1000;
    WallMillis wall_offset = 0;
  };
  struct InFlight {
    std::string from;
    std::size_t to;
    protocol::Envelope envelope;
    Time due;
  };

  ClockReading ClockOf(const Machine& machine) const;
  void Step(std::size_t machine, const control::ControlEvent& event);
  void CarryOut(std::size_t machine, control::ControlActions actions);
  void Deliver();
  void SyncWrites(std::size_t machine);
  static void Store(storage::RecoveredLog& disk,
                    const consensus::WriteRequest& request);
  bool Chance(int percent);
  Duration Delay(std::int64_t max_ms);

  std::mt19937_64 random_;
  Shape shape_;
  static constexpr Time kStart{std::chrono::seconds(1000)};

  Time now_ = kStart;
  std::vector<Machine> machines_;
  std::vector<InFlight> network_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace jacinth::test
