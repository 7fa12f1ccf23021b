#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <string>

#include "core/common/time.h"
#include "core/control/control_event.h"

namespace jacinth::control {

/// Messages of entries that wait for the control thread. They are handled in
/// slices of time, so that messages of replicas, ticks and operators' calls,
/// which come in between, wait for one slice at most, however many entries
/// there are.
///
/// Of each entry at most one heartbeat waits, with all that those before it
/// reported. Otherwise a leader that gets more heartbeats than it can handle
/// would answer only ones that their senders have given up.
class EntryBacklog {
 public:
  /// Time after which no further message is begun: a fraction of the interval
  /// between the heartbeats of replicas.
  static constexpr Duration kSlice = 10ms;
  /// Messages that are kept. Entries send again what isn't answered.
  static constexpr std::size_t kMaxMessages = 4'096;

  /// Adds a message. Returns false if the backlog is full.
  bool Add(MessageReceived message, Time now);

  /// Calls `handle` with the oldest messages until the slice is over, as told
  /// by `read_now`, or none is left.
  template <typename Handle, typename ReadNow>
  void ServeSlice(Handle handle, ReadNow read_now) {
    const Time end = read_now() + kSlice;
    while (!messages_.empty()) {
      handle(TakeOldest());
      if (read_now() >= end)
        return;
    }
  }

  bool empty() const { return messages_.empty(); }
  std::size_t size() const { return messages_.size(); }
  /// Returns when the message that is next was added, or the earliest
  /// heartbeat that it stands for. The backlog must not be empty.
  Time oldest() const { return messages_.front().added; }

 private:
  struct WaitingMessage {
    MessageReceived message;
    Time added;
  };

  MessageReceived TakeOldest();

  std::list<WaitingMessage> messages_;
  /// The waiting heartbeat of each entry.
  std::map<std::string, std::list<WaitingMessage>::iterator> heartbeats_;
};

}  // namespace jacinth::control
