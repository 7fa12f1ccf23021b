#include "unit_tests/support/narrow_fleet.h"

#include <algorithm>
#include <utility>

#include "core/wire/envelope_codec.h"

namespace jacinth::test {
namespace {

constexpr Duration kOneWay = 20ms;
/// Link of an entry on the users' grown and large deployments, in bytes per
/// second.
constexpr double kLinkBytesPerSecond = 2e6 / 8;
/// Part of the link that is left beside callers.
constexpr double kFreeShare = 0.9;
constexpr Duration kListingInterval = 500ms;

// Returns the number of whole lists of members and of suspects in a message.
std::size_t CountWholeLists(const protocol::Envelope& envelope) {
  const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
  if (reply == nullptr)
    return 0;
  const bool has_members =
      reply->members.version != 0 && reply->members.base == 0;
  const bool has_suspects = reply->suspects.version != 0 &&
                            !reply->suspects.unchanged &&
                            reply->suspects.base == 0;
  return (has_members ? 1 : 0) + (has_suspects ? 1 : 0);
}

}  // namespace

NarrowEntry::NarrowEntry(int index, Duration settings_bound) {
  entry::EntryOptions options = EntryDriver::DefaultOptions();
  options.self.id = "e" + std::to_string(index);
  options.heartbeat = 300ms;
  options.control_timeout = 2s;
  options.limits.settings_bound = settings_bound;
  driver = std::make_unique<EntryDriver>(options);
}

void NarrowEntry::Deliver(const std::string& bytes, Time now) {
  received_bytes += bytes.size();
  const std::chrono::duration<double> transfer(
      static_cast<double>(bytes.size()) / kLinkBytesPerSecond / kFreeShare);
  link_free =
      std::max(link_free, now) + std::chrono::duration_cast<Duration>(transfer);
  deliveries.push_back(
      {link_free + link_delay + kOneWay, *wire::DecodeEnvelope(bytes)});
}

NarrowFleet::NarrowFleet(int entries, Duration settings_bound)
    : node_(*control::ControlNode::Create(Options(), {}, clock_)) {
  for (int i = 0; i < entries; ++i) {
    NarrowEntry& entry = entries_.emplace_back(i, settings_bound);
    entry.driver->now = clock_.now;
    entry_by_id_[entry.session().self().id] = entries_.size() - 1;
  }
  Run(3s);
}

void NarrowFleet::Run(Duration duration) {
  const Time end = clock_.now + duration;
  while (clock_.now < end) {
    clock_.now += kStep;
    clock_.wall_ms += ToMillis(kStep);
    StepControl(control::Tick{});
    if (!endpoints_.empty() && clock_.now >= next_listing_)
      ListEndpoints(endpoints_);
    for (NarrowEntry& entry : entries_)
      StepEntry(entry);
    DeliverHeartbeats();
  }
}

void NarrowFleet::Change(const std::vector<protocol::BranchChange>& changes) {
  control::ChangeRequested request;
  request.operator_settings.branches = {"*"};
  request.change.idempotency_key = std::to_string(++change_count_);
  request.change.any_revision = true;
  request.change.changes = changes;
  StepControl(request);
}

void NarrowFleet::ListEndpoints(
    std::vector<protocol::ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  next_listing_ = clock_.now + kListingInterval;
  StepControl(control::EndpointsListed{endpoints_});
}

void NarrowFleet::ReplaceLeader() {
  node_ = *control::ControlNode::Create(Options(), stored_, clock_);
}

control::ControlOptions NarrowFleet::Options() {
  control::ControlOptions options;
  options.replica.id = "c1#1";
  options.replica.election_timeout = 500ms;
  options.replica.heartbeat = 120ms;
  options.contacts = {"c1"};
  options.entry_timeout = 1500ms;
  options.snapshot_entries = 1'000'000;
  return options;
}

void NarrowFleet::StepControl(const control::ControlEvent& event) {
  Execute(node_->Step(event, clock_));
}

void NarrowFleet::Execute(const control::ControlActions& actions) {
  for (const auto& message : actions.messages)
    Send({message.to_instance}, message.envelope);
  most_broadcasts_ = std::max(most_broadcasts_, actions.broadcasts.size());
  for (const auto& broadcast : actions.broadcasts)
    Send(broadcast.to_instances, broadcast.envelope);
  for (const auto& write : actions.writes) {
    if (write.batch.hard_state)
      stored_.hard_state = *write.batch.hard_state;
    if (write.snapshot) {
      stored_.snapshot = *write.snapshot;
      stored_.entries.clear();
    }
    for (const protocol::LogEntry& entry : write.batch.entries)
      stored_.entries.push_back(entry);
  }
  for (const auto& write : actions.writes)
    StepControl(control::WritesSynced{write.id});
}

void NarrowFleet::Send(const std::vector<std::string>& entries,
                       const protocol::Envelope& envelope) {
  const std::string bytes = wire::EncodeEnvelope(envelope);
  encoded_bytes_ += bytes.size();
  whole_lists_ += CountWholeLists(envelope);
  for (const std::string& id : entries) {
    const auto found = entry_by_id_.find(id);
    if (found == entry_by_id_.end())
      continue;
    sent_bytes_ += bytes.size();
    if (!loses_messages_ && !entries_[found->second].is_cut)
      entries_[found->second].Deliver(bytes, clock_.now);
  }
}

void NarrowFleet::StepEntry(NarrowEntry& entry) {
  if (entry.is_down)
    return;
  EntryDriver& driver = *entry.driver;
  driver.now = clock_.now;
  driver.Step(entry::Tick{});
  while (!entry.deliveries.empty() &&
         entry.deliveries.front().due <= clock_.now) {
    const auto delivery = std::move(entry.deliveries.front());
    entry.deliveries.pop_front();
    driver.Step(entry::MessageReceived{"c1", delivery.envelope});
  }
  for (auto& heartbeat : driver.TakeMessages<protocol::Heartbeat>()) {
    if (entry.is_earlier_build) {
      heartbeat.takes_changes = false;
      heartbeat.endpoint_digest.reset();
      heartbeat.slice_digest.reset();
    }
    const std::string from = heartbeat.status.id;
    heartbeats_.push_back(
        {clock_.now + entry.link_delay + kOneWay, from, std::move(heartbeat)});
  }
}

void NarrowFleet::DeliverHeartbeats() {
  std::vector<SentHeartbeat> arrived;
  std::erase_if(heartbeats_, [&](SentHeartbeat& heartbeat) {
    if (heartbeat.due > clock_.now)
      return false;
    arrived.push_back(std::move(heartbeat));
    return true;
  });
  for (const SentHeartbeat& heartbeat : arrived) {
    ++heartbeat_count_;
    StepControl(control::MessageReceived{heartbeat.from, heartbeat.envelope});
  }
}

}  // namespace jacinth::test
