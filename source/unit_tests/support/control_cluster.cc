#include "unit_tests/support/control_cluster.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "core/storage/log_batches.h"

namespace jacinth::test {
namespace {

constexpr Duration kStep = 5ms;
constexpr std::int64_t kMaxSyncMs = 10;
constexpr std::int64_t kMaxDelayMs = 15;
constexpr std::int64_t kMaxWallSkewMs = 500;
/// Largest clock rate error in thousandths; within the margin of the lease.
constexpr int kMaxRateError = 40;
constexpr std::uint64_t kSnapshotEntries = 20;

}  // namespace

ControlCluster::ControlCluster(std::uint64_t seed)
    : ControlCluster(seed, Layout{}) {}

ControlCluster::ControlCluster(std::uint64_t seed, Layout layout)
    : random_(seed), layout_(layout) {
  for (std::size_t i = 0; i < layout_.machines; ++i) {
    Machine machine;
    machine.instance = "c" + std::to_string(i + 1);
    machine.clock_rate = 1000 - kMaxRateError +
                         static_cast<int>(random_() % (2 * kMaxRateError + 1));
    machine.wall_offset = static_cast<WallMillis>(random_() % kMaxWallSkewMs);
    machines_.push_back(std::move(machine));
  }
  for (std::size_t i = 0; i < machines_.size(); ++i)
    Restart(i);
}

void ControlCluster::Run(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      SyncWrites(i);
      if (IsUp(i) && !IsFrozen(i))
        Step(i, control::Tick{});
    }
    Deliver();
  }
}

void ControlCluster::Crash(std::size_t machine) {
  machines_[machine].node.reset();
  machines_[machine].writes.clear();
  machines_[machine].frozen_until = Time{};
  std::erase_if(network_, [&](const InFlightMessage& item) {
    return item.to == machine;
  });
}

void ControlCluster::Restart(std::size_t machine_index) {
  Machine& machine = machines_[machine_index];
  if (machine.node)
    return;
  control::ControlOptions options;
  options.replica.id = protocol::MakeReplicaId(
      machine.instance, std::to_string(machine.incarnation));
  if (layout_.locate != nullptr)
    options.replica.location = layout_.locate(machine_index);
  options.replica.election_timeout = layout_.election_timeout;
  options.replica.heartbeat = layout_.heartbeat;
  for (std::size_t i = 0; i < layout_.contacts; ++i)
    options.contacts.push_back(machines_[i].instance);
  if (layout_.target_voters != 0) {
    options.open_membership = true;
    // As on the platform, a group may be created only at the first start of the
    // system.
    options.may_create_group = machine.starts == 0 && now_ == kStart;
    options.replica.target_voters = layout_.target_voters;
    options.replica.replace_after = layout_.replace_after;
  }
  options.entry_timeout = 500ms;
  options.listing_interval = layout_.listing_interval;
  options.snapshot_entries = kSnapshotEntries;
  options.proposal_seed = static_cast<std::uint64_t>(++machine.starts);
  consensus::ReplicaStart start;
  start.hard_state = machine.disk.hard_state;
  if (machine.disk.snapshot)
    start.snapshot = *machine.disk.snapshot;
  start.entries = machine.disk.entries;
  auto node =
      control::ControlNode::Create(options, std::move(start), ClockOf(machine));
  if (!node)
    throw std::runtime_error(node.error().detail);
  machine.node.emplace(std::move(*node));
}

void ControlCluster::WipeDisk(std::size_t machine) {
  Crash(machine);
  machines_[machine].disk = {};
  ++machines_[machine].incarnation;
}

void ControlCluster::Freeze(std::size_t machine, Duration duration) {
  machines_[machine].frozen_until = now_ + duration;
}

void ControlCluster::BlockLink(std::size_t from, std::size_t to) {
  blocked_links_.insert({machines_[from].instance, machines_[to].instance});
}

void ControlCluster::UnblockLinks() {
  blocked_links_.clear();
}

void ControlCluster::InjectEvent(std::size_t machine,
                                 const control::ControlEvent& event) {
  if (IsUp(machine) && !IsFrozen(machine))
    Step(machine, event);
}

void ControlCluster::SendFromEntry(const std::string& entry,
                                   std::size_t machine,
                                   protocol::Envelope envelope) {
  if (RandomChance(loss_percent))
    return;
  network_.push_back(
      {entry, machine, std::move(envelope), now_ + RandomDelay(kMaxDelayMs)});
}

std::optional<std::size_t> ControlCluster::Leader() const {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (IsUp(i) && !IsFrozen(i) && HoldsLease(i))
      return i;
  }
  return std::nullopt;
}

const control::ControlNode* ControlCluster::node(std::size_t machine) const {
  return IsUp(machine) ? &*machines_[machine].node : nullptr;
}

bool ControlCluster::HoldsLease(std::size_t machine) const {
  const consensus::Replica* replica = machines_[machine].node->replica();
  return replica != nullptr &&
         replica->HoldsLease(ClockOf(machines_[machine]).now);
}

bool ControlCluster::IsCaughtUp(std::size_t machine) const {
  if (!IsUp(machine))
    return false;
  std::uint64_t committed = 0;
  bool is_voter = false;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    const auto* other = node(i);
    if (other == nullptr || other->replica() == nullptr)
      continue;
    committed = std::max(committed, other->replica()->commit_index());
    if (other->replica()->role() == consensus::ReplicaRole::kLeader &&
        other->replica()->ConfigurationSettled()) {
      is_voter |= other->replica()->configuration().IsVoter(
          machines_[machine].node->replica_id());
    }
  }
  const auto* replica = machines_[machine].node->replica();
  return is_voter && replica != nullptr && replica->commit_index() >= committed;
}

std::string ControlCluster::Describe() const {
  std::ostringstream text;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    text << machines_[i].instance << "#" << machines_[i].incarnation
         << (IsUp(i) ? "" : " down") << (IsFrozen(i) ? " frozen" : "");
    const consensus::Replica* replica = IsUp(i) ? node(i)->replica() : nullptr;
    if (replica != nullptr) {
      text << " role " << static_cast<int>(replica->role()) << " term "
           << replica->term() << " commit " << replica->commit_index()
           << " log " << replica->first_index() << "-" << replica->last_index()
           << " voters";
      for (const std::string& id : replica->configuration().voters)
        text << " " << id;
      text << " learners";
      for (const std::string& id : replica->configuration().learners)
        text << " " << id;
    }
    text << "\n";
  }
  return text.str();
}

ClockReading ControlCluster::ClockOf(const Machine& machine) const {
  const Duration since_start = now_.time_since_epoch();
  const Time local{since_start * machine.clock_rate / 1000};
  return {local, ToMillis(since_start) + machine.wall_offset};
}

void ControlCluster::Step(std::size_t machine,
                          const control::ControlEvent& event) {
  ExecuteActions(machine, machines_[machine].node->Step(
                              event, ClockOf(machines_[machine])));
  if (check)
    check(*this);
}

void ControlCluster::ExecuteActions(std::size_t machine_index,
                                    control::ControlActions actions) {
  Machine& machine = machines_[machine_index];
  for (consensus::WriteRequest& write : actions.writes) {
    const bool in_order =
        machine.writes.empty() || machine.writes.back().request.id < write.id;
    if (!in_order)
      throw std::logic_error("writes out of order");
    const Time due = NextSyncDue(machine);
    machine.writes.push_back({std::move(write), due});
  }
  for (control::OutgoingMessage& message : actions.messages) {
    const auto to = std::find_if(
        machines_.begin(), machines_.end(), [&](const Machine& candidate) {
          return candidate.instance == message.to_instance;
        });
    if (to == machines_.end()) {
      if (on_entry_message && !RandomChance(loss_percent))
        on_entry_message(message.to_instance, message.envelope);
      continue;
    }
    if (blocked_links_.count({machine.instance, to->instance}) != 0)
      continue;
    const auto index = static_cast<std::size_t>(to - machines_.begin());
    if (RandomChance(loss_percent))
      continue;
    if (RandomChance(duplicate_percent)) {
      network_.push_back({machine.instance, index, message.envelope,
                          now_ + RandomDelay(10 * kMaxDelayMs)});
    }
    network_.push_back({machine.instance, index, std::move(message.envelope),
                        now_ + RandomDelay(kMaxDelayMs)});
  }
  for (const control::Broadcast& broadcast : actions.broadcasts) {
    for (const std::string& entry : broadcast.to_instances) {
      if (on_entry_message && !RandomChance(loss_percent))
        on_entry_message(entry, broadcast.envelope);
    }
  }
  if (actions.list_endpoints && on_list_endpoints)
    on_list_endpoints(machine_index);
  for (const control::AdminReply& reply : actions.replies) {
    if (on_admin_reply)
      on_admin_reply(reply);
  }
}

void ControlCluster::Deliver() {
  std::vector<InFlightMessage> due;
  std::erase_if(network_, [&](InFlightMessage& item) {
    if (item.due > now_ || IsFrozen(item.to))
      return false;
    due.push_back(std::move(item));
    return true;
  });
  // Messages are reordered, because each has its own delay.
  std::stable_sort(
      due.begin(), due.end(),
      [](const InFlightMessage& left, const InFlightMessage& right) {
        return left.due < right.due;
      });
  for (InFlightMessage& item : due) {
    if (!IsUp(item.to))
      continue;
    Step(item.to,
         control::MessageReceived{item.from, std::move(item.envelope)});
  }
}

void ControlCluster::SyncWrites(std::size_t machine_index) {
  Machine& machine = machines_[machine_index];
  // A frozen process handles its completed syncs after it resumes.
  if (IsFrozen(machine_index) || IsDiskStalled(machine_index))
    return;
  std::optional<consensus::SyncId> synced;
  while (!machine.writes.empty() && machine.writes.front().due <= now_) {
    ApplyWrite(machine.disk, machine.writes.front().request);
    synced = machine.writes.front().request.id;
    machine.writes.erase(machine.writes.begin());
  }
  if (synced && IsUp(machine_index))
    Step(machine_index, control::WritesSynced{*synced});
}

void ControlCluster::ApplyWrite(storage::RecoveredLog& disk,
                                const consensus::WriteRequest& request) {
  if (request.batch.hard_state)
    disk.hard_state = *request.batch.hard_state;
  if (request.snapshot) {
    disk.snapshot = request.snapshot;
    disk.entries = request.batch.entries;
    return;
  }
  storage::OverwriteEntries(disk.entries, request.batch.entries);
}

Time ControlCluster::NextSyncDue(const Machine& machine) {
  const auto& writes = machine.writes;
  if (!sync_time) {
    const Time earliest = writes.empty() ? now_ : writes.back().due;
    return earliest + RandomDelay(kMaxSyncMs);
  }
  if (writes.empty())
    return now_ + *sync_time;
  const bool next_is_queued = writes.back().due > writes.front().due;
  return next_is_queued ? writes.back().due : writes.back().due + *sync_time;
}

bool ControlCluster::RandomChance(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

Duration ControlCluster::RandomDelay(std::int64_t max_ms) {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(random_() % (max_ms * 1000)) + 1);
}

}  // namespace jacinth::test
