#include "core/control/entry_backlog.h"

#include <iterator>
#include <utility>
#include <vector>

namespace jacinth::control {
namespace {

using protocol::Heartbeat;

template <typename Report>
void Prepend(std::vector<Report>& reports, std::vector<Report>& earlier) {
  reports.insert(reports.begin(), std::make_move_iterator(earlier.begin()),
                 std::make_move_iterator(earlier.end()));
}

// Adds what only `earlier` reports. What it says of the entry's state is
// outdated by `heartbeat`.
void AddReports(Heartbeat& heartbeat, Heartbeat& earlier) {
  Prepend(heartbeat.claims, earlier.claims);
  Prepend(heartbeat.uses, earlier.uses);
  Prepend(heartbeat.rate_limits, earlier.rate_limits);
  Prepend(heartbeat.drains, earlier.drains);
  Prepend(heartbeat.crashes, earlier.crashes);
  Prepend(heartbeat.acquitted, earlier.acquitted);
  heartbeat.lacks_endpoints |= earlier.lacks_endpoints;
  heartbeat.lacks_settings |= earlier.lacks_settings;
  heartbeat.lacks_members |= earlier.lacks_members;
}

}  // namespace

bool EntryBacklog::Add(MessageReceived message, Time now) {
  auto* heartbeat = std::get_if<Heartbeat>(&message.envelope);
  if (heartbeat != nullptr) {
    const auto waiting = heartbeats_.find(message.from);
    if (waiting != heartbeats_.end()) {
      auto& earlier = std::get<Heartbeat>(waiting->second->message.envelope);
      AddReports(*heartbeat, earlier);
      earlier = std::move(*heartbeat);
      return true;
    }
  }
  if (messages_.size() >= kMaxMessages)
    return false;
  const bool is_heartbeat = heartbeat != nullptr;
  messages_.push_back({std::move(message), now});
  if (is_heartbeat)
    heartbeats_[messages_.back().message.from] = std::prev(messages_.end());
  return true;
}

MessageReceived EntryBacklog::TakeOldest() {
  MessageReceived message = std::move(messages_.front().message);
  messages_.pop_front();
  if (std::holds_alternative<Heartbeat>(message.envelope))
    heartbeats_.erase(message.from);
  return message;
}

}  // namespace jacinth::control
