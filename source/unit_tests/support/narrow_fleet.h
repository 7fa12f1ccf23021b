#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/control/control_node.h"
#include "unit_tests/support/entry_driver.h"

namespace jacinth::test {

/// An entry behind a link that passes a limited number of bytes per second.
struct NarrowEntry {
  struct Delivery {
    Time due;
    protocol::Envelope envelope;
  };

  /// `settings_bound` is the time for which the entry may use replaced
  /// settings; no limit if zero.
  explicit NarrowEntry(int index, Duration settings_bound = Duration{0});

  const entry::ControlSession& session() const {
    return driver->node.session();
  }
  /// Receives a message of `bytes`.
  void Deliver(const std::string& bytes, Time now);

  std::unique_ptr<EntryDriver> driver;
  /// Time that messages in each direction wait at the link, which callers use
  /// as well.
  Duration link_delay{0};
  /// True while all messages to the entry are lost.
  bool is_cut = false;
  /// True while no process runs there.
  bool is_down = false;
  /// True if the entry's heartbeats lack what earlier builds don't know.
  bool is_earlier_build = false;
  std::deque<Delivery> deliveries;
  std::size_t received_bytes = 0;
  Time link_free{};
};

/// A control group of one replica, and entries with narrow links.
class NarrowFleet {
 public:
  static constexpr Duration kStep = 10ms;

  explicit NarrowFleet(int entries, Duration settings_bound = Duration{0});

  void Run(Duration duration);

  /// Passes a change to the replica.
  void Change(const std::vector<protocol::BranchChange>& changes);
  /// Passes a listing to the replica, and again every 500 ms.
  void ListEndpoints(std::vector<protocol::ListedEndpoint> endpoints);
  /// Replaces the replica by one that starts from its log, as the leader of the
  /// next term.
  void ReplaceLeader();
  /// Loses all messages to entries for a time.
  void LoseMessages(bool lose) { loses_messages_ = lose; }

  std::uint64_t revision() const { return node_->state().revision(); }
  const control::ControlNode& node() const { return *node_; }
  std::vector<NarrowEntry>& entries() { return entries_; }
  /// Bytes of all messages to entries so far.
  std::size_t sent_bytes() const { return sent_bytes_; }
  /// Bytes that the replica encoded for them: less, if several entries are sent
  /// the same message.
  std::size_t encoded_bytes() const { return encoded_bytes_; }
  /// Whole lists of members and of suspects that the replica encoded: one for
  /// several entries that are sent the same message.
  std::size_t whole_lists() const { return whole_lists_; }
  /// Heartbeats that arrived so far.
  std::size_t heartbeats() const { return heartbeat_count_; }
  /// Highest number of different messages that the leader made in one step
  /// since ForgetBroadcasts().
  std::size_t most_broadcasts() const { return most_broadcasts_; }
  void ForgetBroadcasts() { most_broadcasts_ = 0; }

 private:
  struct SentHeartbeat {
    Time due;
    std::string from;
    protocol::Envelope envelope;
  };

  static control::ControlOptions Options();
  void StepControl(const control::ControlEvent& event);
  void Execute(const control::ControlActions& actions);
  void Send(const std::vector<std::string>& entries,
            const protocol::Envelope& envelope);
  void StepEntry(NarrowEntry& entry);
  void DeliverHeartbeats();

  ClockReading clock_{Time{1000s}, 1'000'000};
  std::optional<control::ControlNode> node_;
  /// What the replica has written.
  consensus::ReplicaStart stored_;
  std::vector<NarrowEntry> entries_;
  std::map<std::string, std::size_t> entry_by_id_;
  std::deque<SentHeartbeat> heartbeats_;
  std::vector<protocol::ListedEndpoint> endpoints_;
  Time next_listing_{};
  int change_count_ = 0;
  bool loses_messages_ = false;
  std::size_t sent_bytes_ = 0;
  std::size_t encoded_bytes_ = 0;
  std::size_t whole_lists_ = 0;
  std::size_t heartbeat_count_ = 0;
  std::size_t most_broadcasts_ = 0;
};

}  // namespace jacinth::test
