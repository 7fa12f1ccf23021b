#include "core/entry/entry_node.h"

#include <algorithm>
#include <utility>

namespace jacinth::entry {
namespace {

/// Time between ticks: bounds how late a deadline in the queue is noticed.
constexpr Duration kTickInterval = 20ms;
/// Heartbeats until all other entries know that this one is leaving.
constexpr int kAnnounceHeartbeats = 4;

}  // namespace

EntryNode::EntryNode(EntryOptions options)
    : options_(std::move(options)),
      session_(options_.self, options_.heartbeat, options_.control_timeout),
      ceilings_(options_.max_requests) {}

EntryActions EntryNode::Step(const EntryEvent& event, Time now) {
  std::visit([&](const auto& body) { On(body, now); }, event);
  for (protocol::Envelope& message : claims_.TakeMessages(now))
    actions_.messages.push_back({session_.leader(), std::move(message)});
  actions_.wake = now + kTickInterval;
  return std::exchange(actions_, {});
}

void EntryNode::On(const MessageReceived& event, Time now) {
  if (const auto* reply =
          std::get_if<protocol::HeartbeatReply>(&event.envelope)) {
    if (!session_.OnReply(*reply, now))
      return;
    TakeFleet();
    PublishSnapshot();
    return;
  }
  if (const auto* claim = std::get_if<protocol::ClaimReply>(&event.envelope)) {
    OnClaimReply(*claim, now);
    return;
  }
  if (const auto* finish = std::get_if<protocol::FinishReply>(&event.envelope))
    claims_.OnFinishReply(*finish);
}

void EntryNode::On(const Tick& /*event*/, Time now) {
  if (auto heartbeat = session_.OnTick(now))
    actions_.messages.push_back({"", std::move(*heartbeat)});
  RefuseExpired(now);
  for (auto& [name, desk] : desks_) {
    for (std::string& endpoint : desk.endpoints.DueProbes(now)) {
      std::string address = desk.endpoints.AddressOf(endpoint);
      actions_.probes.push_back(
          {name, std::move(endpoint), std::move(address)});
    }
    RefuseUnservable(desk, now);
    Pump(desk, now);
  }
  TickStop(now);
}

void EntryNode::On(const ProbeEnded& event, Time now) {
  const auto desk = desks_.find(event.service);
  if (desk == desks_.end())
    return;
  desk->second.endpoints.OnProbeEnd(event.endpoint, event.end, now);
  Pump(desk->second, now);
}

void EntryNode::On(const StopRequested& /*event*/, Time now) {
  if (phase_ != Phase::kServing)
    return;
  phase_ = Phase::kLeaving;
  stop_started_ = now;
  session_.SetDraining();
  PublishSnapshot();
}

void EntryNode::TakeFleet() {
  const auto& fleet = session_.fleet();
  if (fleet == nullptr || fleet->revision == fleet_revision_)
    return;
  fleet_revision_ = fleet->revision;
  clients_ = steering::BuildClientMap(*fleet);
  for (const auto& [name, service] : fleet->services)
    desks_[name].Update(service);
  for (auto& [name, desk] : desks_) {
    if (fleet->services.count(name) == 0)
      desk.Close();
  }
}

void EntryNode::PublishSnapshot() {
  auto snapshot = std::make_shared<steering::SteeringSnapshot>();
  snapshot->fleet = session_.fleet();
  snapshot->clients = clients_;
  snapshot->members = session_.members();
  snapshot->self = session_.self();
  snapshot->contact_until = session_.contact_until();
  actions_.snapshot = std::move(snapshot);
}

void EntryNode::TickStop(Time now) {
  if (phase_ == Phase::kLeaving) {
    const Duration wait =
        LongestTtl() + kAnnounceHeartbeats * options_.heartbeat;
    if (now < stop_started_ + wait)
      return;
    phase_ = Phase::kRefusing;
    stop_started_ = now;
  }
  if (phase_ != Phase::kRefusing)
    return;
  const bool idle = requests_.empty() && claims_.unconfirmed() == 0;
  if (idle || now >= stop_started_ + options_.drain_limit)
    actions_.stopped = true;
}

Duration EntryNode::LongestTtl() const {
  Duration longest{0};
  if (session_.fleet() == nullptr)
    return longest;
  for (const auto& [name, service] : session_.fleet()->services) {
    longest = std::max(longest, service.ttl);
    for (const auto& [region, ttl] : service.region_ttl)
      longest = std::max(longest, ttl);
  }
  return longest;
}

}  // namespace jacinth::entry
