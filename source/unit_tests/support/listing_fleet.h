#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "unit_tests/support/control_cluster.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::test {

/// Entries and a control group with the timing of a deployment of 185 entries,
/// whose replicas read the platform's list as their hosts do. The list has one
/// endpoint.
class ListingFleet {
 public:
  static constexpr Duration kStep = 10ms;
  /// Interval at which a host reads the list, and time that a reading takes.
  static constexpr Duration kListInterval = 750ms;
  static constexpr Duration kListTime = 300ms;
  /// Time from the listing of a drain until no request may reach the endpoint,
  /// less the time for a connection and for sending a request.
  static constexpr Duration kMaxDrainDelay = 3000ms - 500ms;
  static constexpr int kEntries = 12;
  static constexpr std::size_t kReplicas = 5;

  explicit ListingFleet(std::uint64_t seed,
                        Duration list_interval = kListInterval);

  /// Returns true if a message of a replica to an entry is lost.
  std::function<bool(const std::string& entry,
                     const protocol::HeartbeatReply& reply)>
      loses;
  /// Replicas whose readings of the list don't end.
  std::set<std::size_t> stalled_readers;
  /// True if that holds for whoever leads.
  bool leader_cannot_read = false;
  /// Returns true if a message of an entry to a replica is lost.
  std::function<bool(std::size_t machine, const protocol::Heartbeat& message)>
      loses_question;
  /// Time that a reading takes.
  Duration list_time = kListTime;
  /// Time that messages to entries wait at their links.
  Duration entry_delay{0};
  /// Bytes of settings that were sent to entries so far.
  std::size_t settings_bytes = 0;

  void Run(Duration duration);
  /// Runs until just before the leader's next reading.
  void RunUntilReading();

  std::size_t Leader() { return cluster_.Leader().value(); }
  bool HasLeader() const { return cluster_.Leader().has_value(); }
  void FreezeLeader(Duration duration) { cluster_.Freeze(Leader(), duration); }
  void CrashLeader() { cluster_.Crash(Leader()); }
  void Crash(std::size_t machine) { cluster_.Crash(machine); }
  /// Keeps a replica from hearing the others, and the others from hearing it.
  void CutReplica(std::size_t machine);
  /// Makes the replicas' disks slow.
  void SetSyncTime(Duration time) { cluster_.sync_time = time; }
  /// Ends cuts and restarts the replicas that are down.
  void Heal();
  void DrainEndpoint() { draining_ = true; }
  /// Passes a change of the settings to the leader, and runs until it is
  /// acknowledged.
  void Change(const std::vector<protocol::BranchChange>& changes);
  /// Revision of the last change.
  std::uint64_t revision() const { return revision_; }
  /// Returns true if that revision is in force at all entries.
  bool AllHoldSettings() const;
  /// Runs until that is so, at most for `limit`, and returns the time.
  Duration RunUntilSettings(Duration limit);
  /// Returns an entry that counts its settings as the newest at a time when a
  /// newer revision had been acknowledged; empty if there is none.
  std::string FindOverconfident() const;
  /// Adds an endpoint to the list that drains and has no start time.
  void ListUnidentifiedDrain() { lists_unidentified_drain_ = true; }

  /// Returns true if all entries know the endpoint, and that it drains if
  /// `draining` is true.
  bool AllKnow(bool draining) const;
  /// Returns the age of what the entry knows of drains that knows least.
  Duration OldestDrains() const;
  /// Returns true if the list of all entries is from the current leader.
  bool AllFollowLeader() const;
  /// Number of readings of the list so far.
  int readings() const { return readings_; }
  /// Those of replicas that didn't lead.
  int readings_by_others() const { return readings_by_others_; }

 private:
  struct Entry {
    std::unique_ptr<EntryDriver> driver;
    Time start;
    /// Time until which its link passes on pieces of settings.
    Time link_free{};
  };
  struct ToEntry {
    Time due;
    std::string entry;
    protocol::Envelope envelope;
  };
  struct Reading {
    Time began;
    Time due;
    std::vector<protocol::ListedEndpoint> list;
  };

  void SendToEntry(const std::string& entry,
                   const protocol::Envelope& envelope);
  void StartReading(std::size_t machine);
  void StepHost(std::size_t machine);
  void StepEntry(Entry& entry);

  ControlCluster cluster_;
  Duration list_interval_;
  std::vector<Entry> entries_;
  std::deque<ToEntry> to_entries_;
  std::vector<Time> next_reading_;
  std::map<std::size_t, Reading> readings_by_machine_;
  bool draining_ = false;
  int changes_ = 0;
  std::uint64_t revision_ = 0;
  /// Time at which each revision was acknowledged.
  std::map<std::uint64_t, Time> acknowledged_;
  bool lists_unidentified_drain_ = false;
  int readings_ = 0;
  int readings_by_others_ = 0;
};

}  // namespace jacinth::test
