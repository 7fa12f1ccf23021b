#include "unit_tests/support/listing_fleet.h"

#include <algorithm>
#include <utility>

namespace jacinth::test {
namespace {

constexpr Duration kOneWay = 20ms;
/// Interval of heartbeats in a fleet of 185 entries.
constexpr Duration kHeartbeatInterval = 500ms;
constexpr unsigned kTermShift = 32;
/// What a link of 2 Mbit/s, the narrowest of the users, leaves beside callers.
constexpr double kLinkBytesPerSecond = 2e6 / 8 * 0.9;

}  // namespace

ListingFleet::ListingFleet(std::uint64_t seed, Duration list_interval)
    : cluster_(seed,
               {.machines = kReplicas,
                .contacts = kReplicas,
                .target_voters = 0,
                .election_timeout = 500ms,
                .heartbeat = 120ms,
                .replace_after = ControlCluster::kReplaceAfter,
                .locate = nullptr,
                .listing_interval = list_interval}),
      list_interval_(list_interval) {
  cluster_.loss_percent = 0;
  cluster_.duplicate_percent = 0;
  cluster_.on_entry_message = [this](const std::string& entry,
                                     const protocol::Envelope& envelope) {
    SendToEntry(entry, envelope);
  };
  cluster_.on_list_endpoints = [this](std::size_t machine) {
    StartReading(machine);
  };
  for (int i = 0; i < kEntries; ++i) {
    entry::EntryOptions options = EntryDriver::DefaultOptions();
    options.self.id = "e" + std::to_string(i);
    options.heartbeat = kHeartbeatInterval;
    options.control_timeout = 2s;
    options.contacts.clear();
    for (std::size_t replica = 1; replica <= kReplicas; ++replica)
      options.contacts.push_back("c" + std::to_string(replica));
    // Entries begin at different times.
    entries_.push_back({std::make_unique<EntryDriver>(options),
                        cluster_.now() + i * kHeartbeatInterval / kEntries});
  }
  next_reading_.resize(kReplicas, cluster_.now());
  cluster_.on_admin_reply = [this](const control::AdminReply& reply) {
    const auto* accepted = std::get_if<control::ChangeAccepted>(&reply.body);
    if (accepted == nullptr)
      return;
    revision_ = accepted->revision;
    acknowledged_[revision_] = cluster_.now();
  };
  Run(2s);
  Change({{"service/s", {{"ttl_ms", "500"}}}});
  Run(5s);
}

void ListingFleet::SendToEntry(const std::string& id,
                               const protocol::Envelope& envelope) {
  const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
  if (reply != nullptr && loses && loses(id, *reply))
    return;
  Time due = cluster_.now();
  for (Entry& entry : entries_) {
    if (entry.driver->node.session().self().id != id)
      continue;
    const std::size_t bytes =
        reply != nullptr ? reply->settings_piece.bytes.size() : 0;
    settings_bytes += bytes;
    const std::chrono::duration<double> transfer(static_cast<double>(bytes) /
                                                 kLinkBytesPerSecond);
    entry.link_free = std::max(entry.link_free, due) +
                      std::chrono::duration_cast<Duration>(transfer);
    due = entry.link_free;
  }
  to_entries_.push_back({due + entry_delay + kOneWay, id, envelope});
}

void ListingFleet::Run(Duration duration) {
  const Time end = cluster_.now() + duration;
  while (cluster_.now() < end) {
    cluster_.Run(kStep);
    for (std::size_t i = 0; i < kReplicas; ++i)
      StepHost(i);
    for (Entry& entry : entries_)
      StepEntry(entry);
  }
}

void ListingFleet::RunUntilReading() {
  Run(next_reading_[Leader()] - cluster_.now() - 2 * kStep);
}

void ListingFleet::Change(const std::vector<protocol::BranchChange>& changes) {
  control::ChangeRequested request;
  request.operator_settings.branches = {"*"};
  request.change.idempotency_key = std::to_string(++changes_);
  request.change.any_revision = true;
  request.change.changes = changes;
  const std::uint64_t before = revision_;
  cluster_.InjectEvent(Leader(), request);
  while (revision_ == before)
    Run(kStep);
}

bool ListingFleet::AllHoldSettings() const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.driver->node.session().self().revision == revision_;
  });
}

Duration ListingFleet::RunUntilSettings(Duration limit) {
  Duration passed{0};
  for (; passed < limit && !AllHoldSettings(); passed += kStep)
    Run(kStep);
  return passed;
}

void ListingFleet::CutReplica(std::size_t machine) {
  for (std::size_t other = 0; other < kReplicas; ++other) {
    cluster_.BlockLink(other, machine);
    cluster_.BlockLink(machine, other);
  }
}

void ListingFleet::Heal() {
  cluster_.UnblockLinks();
  for (std::size_t machine = 0; machine < kReplicas; ++machine)
    cluster_.Restart(machine);
}

std::string ListingFleet::FindOverconfident() const {
  for (const Entry& entry : entries_) {
    const entry::ControlSession& session = entry.driver->node.session();
    const auto newer = acknowledged_.upper_bound(session.self().revision);
    if (newer != acknowledged_.end() &&
        session.settings_confirmed_at() > newer->second)
      return session.self().id;
  }
  return "";
}

bool ListingFleet::AllKnow(bool draining) const {
  return std::all_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    const auto& endpoints = entry.driver->node.session().endpoints();
    const auto found = endpoints.find("1");
    return found != endpoints.end() && found->second.draining == draining;
  });
}

Duration ListingFleet::OldestDrains() const {
  Duration oldest{0};
  for (const Entry& entry : entries_) {
    oldest = std::max(
        oldest,
        cluster_.now() - entry.driver->node.session().drains_confirmed_at());
  }
  return oldest;
}

bool ListingFleet::AllFollowLeader() const {
  const auto leader = cluster_.Leader();
  if (!leader)
    return false;
  const std::uint64_t term = cluster_.node(*leader)->replica()->term();
  return std::all_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    const std::uint64_t version =
        entry.driver->node.session().endpoints_version();
    return version >> kTermShift == term;
  });
}

void ListingFleet::StartReading(std::size_t machine) {
  if (readings_by_machine_.count(machine) != 0)
    return;
  ++readings_;
  if (!cluster_.node(machine)->Leads())
    ++readings_by_others_;
  protocol::ListedEndpoint endpoint;
  endpoint.id = "1";
  endpoint.started_ms = 1;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:1";
  endpoint.draining = draining_;
  std::vector<protocol::ListedEndpoint> list{endpoint};
  if (lists_unidentified_drain_) {
    endpoint.id = "2";
    endpoint.started_ms = 0;
    endpoint.address = "10.0.0.2:1";
    endpoint.draining = true;
    list.push_back(std::move(endpoint));
  }
  readings_by_machine_[machine] = {cluster_.now(), cluster_.now() + list_time,
                                   std::move(list)};
}

void ListingFleet::StepHost(std::size_t machine) {
  if (!cluster_.IsUp(machine) || cluster_.IsFrozen(machine))
    return;
  // A reading that is due while one is in progress begins when that ends.
  if (cluster_.now() >= next_reading_[machine] &&
      readings_by_machine_.count(machine) == 0) {
    next_reading_[machine] =
        std::max(next_reading_[machine] + list_interval_, cluster_.now());
    if (cluster_.node(machine)->Leads())
      StartReading(machine);
  }
  const auto reading = readings_by_machine_.find(machine);
  if (reading == readings_by_machine_.end() ||
      cluster_.now() < reading->second.due)
    return;
  const bool is_stalled =
      stalled_readers.count(machine) != 0 ||
      (leader_cannot_read && cluster_.node(machine)->Leads());
  if (is_stalled)
    return;
  const control::EndpointsListed listed{reading->second.list,
                                        /*is_complete=*/true,
                                        cluster_.now() - reading->second.began};
  readings_by_machine_.erase(reading);
  cluster_.InjectEvent(machine, listed);
}

void ListingFleet::StepEntry(Entry& entry) {
  EntryDriver& driver = *entry.driver;
  if (cluster_.now() < entry.start)
    return;
  driver.now = cluster_.now();
  driver.Step(entry::Tick{});
  std::erase_if(to_entries_, [&](const ToEntry& message) {
    if (message.entry != driver.node.session().self().id ||
        message.due > cluster_.now())
      return false;
    driver.Step(entry::MessageReceived{"", message.envelope});
    return true;
  });
  for (const entry::OutgoingMessage& message :
       std::exchange(driver.messages, {})) {
    const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message.envelope);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (cluster_.instance(i) != message.to_instance)
        continue;
      const bool is_lost = heartbeat != nullptr && loses_question &&
                           loses_question(i, *heartbeat);
      if (!is_lost)
        cluster_.SendFromEntry(driver.node.session().self().id, i,
                               message.envelope);
    }
  }
}

}  // namespace jacinth::test
