#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/common/hash.h"
#include "core/control/control_node.h"
#include "core/wire/command_codec.h"

namespace jacinth::control {
namespace {

/// Number of entries that are told of the next leader, and the time for which
/// they are remembered.
constexpr std::size_t kMaxSeekers = 1'024;
constexpr Duration kSeekerMemory = 1s;

}  // namespace

using consensus::ReplicaRole;
using protocol::Command;

void ControlNode::OnHeartbeat(const std::string& from,
                              const protocol::Heartbeat& heartbeat,
                              ClockReading clock) {
  if (!HasLeaderLease(clock.now)) {
    protocol::HeartbeatReply reply;
    reply.sequence = heartbeat.sequence;
    reply.leader_hint = LeaderInstance();
    reply.revision = state_.revision();
    reply.replicas = ReplicaInstances();
    const std::string digest = heartbeat.endpoint_digest.value_or("");
    if (!digest.empty()) {
      reply.drains = standby_list_.DrainsFor(digest);
      reply.listing = standby_list_.StateAt(clock.now, digest);
    }
    if (heartbeat.lacks_settings)
      AddAskedSettings(heartbeat, reply);
    if (reply.leader_hint.empty() && seekers_.size() < kMaxSeekers)
      seekers_[from] = clock.now;
    SendToEntry(from, reply);
    if (!digest.empty())
      ReadListForEntry(heartbeat, clock.now);
    return;
  }
  ResetListsForTerm(clock);
  protocol::HeartbeatReply reply = MakeReply(clock.now);
  reply.sequence = heartbeat.sequence;
  registry_.OnHeartbeat(heartbeat.status, clock.now);
  settings_sender_.OnHeartbeat(from, heartbeat);
  AddSettings(from, reply, clock.now);
  EntryDelivery& delivery = deliveries_[from];
  delivery.OnHeartbeat(heartbeat, clock.now);
  AddMembers(delivery, heartbeat, reply, clock.now);
  const bool new_drains = ApplyDrainReports(heartbeat.drains, clock.now);
  for (const protocol::SliceClaim& claim : heartbeat.claims)
    slices_.Claim(from, claim, clock.now);
  for (const protocol::SliceUse& use : heartbeat.uses)
    slices_.AddUse(use);
  AddChanges(delivery, reply, clock.now);
  for (const protocol::RateLimitReport& report : heartbeat.rate_limits)
    rate_shares_.OnReport(from, report, clock.now);
  AllocateRateShares(clock.now);
  reply.sent_members_version = delivery.members.Base(clock.now);
  reply.listing->sent_version = delivery.endpoints.Base(clock.now);
  reply.rate_shares = RateSharesFor(from, delivery, clock.now);
  OnCrashReports(heartbeat, clock);
  AddSuspects(delivery, reply, clock);
  delivery.rate_shares = reply.rate_shares.version;
  SendToEntry(from, std::move(reply));
  QueueTables(from, delivery, heartbeat, clock.now);
  ServeTableQueue(clock.now);
  if (NeedsAllMembers(delivery, clock.now) ||
      NeedsAllSuspects(delivery, clock.now))
    PushWholeLists(clock);
  if (new_drains)
    PushLists(clock);
}

// Reads the platform's list for an entry that asks this replica. Unless the
// entry knows that its list is out of date, a leader that is heard does that.
void ControlNode::ReadListForEntry(const protocol::Heartbeat& heartbeat,
                                   Time now) {
  if (!replica_ || storage_failed_ || ServesLists(now))
    return;
  if (!heartbeat.asks_listing && HearsOtherLeader(now))
    return;
  standby_list_.OnAsked(heartbeat, now);
  actions_.list_endpoints |= standby_list_.TakeReading(now);
}

// Tells the entries that ask this replica which endpoints drain, and how
// current that is.
void ControlNode::TellStandbyList(const EndpointsListed& event, Time now) {
  const Time began = now - event.took;
  standby_list_.ApplyListing(event.endpoints, began);
  std::size_t told = 0;
  for (const auto& [entry, asker] : standby_list_.Askers(now)) {
    protocol::HeartbeatReply reply;
    reply.sequence = asker.sequence;
    reply.leader_hint = LeaderInstance();
    reply.revision = state_.revision();
    reply.drains = standby_list_.DrainsFor(asker.digest);
    reply.listing = standby_list_.StateAt(asker.asked, asker.digest);
    told += reply.drains.empty() ? 0 : 1;
    SendToEntry(entry, std::move(reply));
  }
  LogEvent("standby_list_read")
      .With("endpoints", event.endpoints.size())
      .With("took_ms", ToMillis(event.took))
      .With("entries_told", told);
}

// Tells the entries that asked in vain who leads now, so that a fleet without a
// leader finds the next one as soon as it is elected.
void ControlNode::AnswerSeekers(Time now) {
  if (seekers_.empty())
    return;
  protocol::HeartbeatReply reply;
  reply.leader_hint = LeaderInstance();
  const bool leads = replica_ && replica_->role() == ReplicaRole::kLeader;
  if (reply.leader_hint.empty() || (leads && !HasLeaderLease(now)))
    return;
  std::vector<std::string> entries;
  for (const auto& [entry, asked] : std::exchange(seekers_, {})) {
    if (now <= asked + kSeekerMemory)
      entries.push_back(entry);
  }
  if (!entries.empty())
    actions_.broadcasts.push_back({std::move(entries), std::move(reply)});
}

void ControlNode::OnClaim(const std::string& from,
                          const protocol::ClaimRequest& request,
                          ClockReading clock) {
  PendingClaim pending{from, request.attempt, request.traceparent, clock.now};
  if (ProposeCommand(std::move(pending), request, clock))
    return;
  protocol::ClaimReply reply;
  reply.attempt = request.attempt;
  SendToEntry(from, std::move(reply));
}

void ControlNode::OnFinish(const std::string& from,
                           const protocol::FinishRequest& request,
                           ClockReading clock) {
  // If the proposal fails, no reply is sent and the entry resends its request,
  // to the next leader if there is one.
  ProposeCommand(PendingFinish{from, request.attempt}, request, clock);
}

void ControlNode::CompleteProposal(std::uint64_t proposal,
                                   const CommandResult& result,
                                   Time now) {
  const auto found = pending_proposals_.find(proposal);
  if (found == pending_proposals_.end())
    return;
  const PendingProposal pending = std::move(found->second);
  pending_proposals_.erase(found);
  if (const auto* change = std::get_if<PendingChange>(&pending)) {
    const auto& outcome = std::get<ChangeOutcome>(result);
    LogChange(change->ticket, outcome);
    if (outcome.accepted) {
      actions_.replies.push_back(
          {change->ticket, ChangeAccepted{outcome.revision}});
      return;
    }
    CallRefused refused;
    refused.error = {outcome.refusal, "the current revision is " +
                                          std::to_string(outcome.revision)};
    refused.revision = outcome.revision;
    actions_.replies.push_back({change->ticket, std::move(refused)});
    return;
  }
  if (const auto* claim = std::get_if<PendingClaim>(&pending)) {
    const auto& outcome = std::get<ClaimResult>(result);
    SendToEntry(claim->entry,
                protocol::ClaimReply{claim->attempt, true, outcome.verdict,
                                     outcome.answer});
    if (!claim->traceparent.empty()) {
      actions_.claim_traces.push_back(
          {claim->traceparent, now - claim->started});
    }
    return;
  }
  if (const auto* finish = std::get_if<PendingFinish>(&pending))
    SendToEntry(finish->entry, protocol::FinishReply{finish->attempt});
}

bool ControlNode::ProposeCommand(PendingProposal pending,
                                 decltype(Command::body) body,
                                 ClockReading clock) {
  if (!replica_ || storage_failed_)
    return false;
  Command command;
  command.wall_ms = clock.wall_ms;
  command.proposal = ++last_proposal_;
  command.body = std::move(body);
  const auto index = replica_->Propose(wire::EncodeCommand(command), clock.now);
  if (!index)
    return false;
  pending_proposals_[command.proposal] = std::move(pending);
  return true;
}

void ControlNode::PushSettings(ClockReading clock) {
  if (pushed_revision_ == state_.revision() || !Leads())
    return;
  pushed_revision_ = state_.revision();
  const protocol::HeartbeatReply reply = MakeReply(clock.now);
  // Entries that hold the same revision are sent the same message.
  std::vector<Broadcast> broadcasts;
  std::vector<protocol::HeartbeatReply> replies;
  for (const protocol::EntryStatus& entry : registry_.Statuses()) {
    // An entry takes its first settings only with the reply to a heartbeat.
    if (entry.revision == 0)
      continue;
    // Sent even without settings, so that the entry knows that it lacks some.
    protocol::HeartbeatReply entry_reply = reply;
    AddSettings(entry.id, entry_reply, clock.now);
    const auto same = std::find(replies.begin(), replies.end(), entry_reply);
    const auto index = static_cast<std::size_t>(same - replies.begin());
    if (same == replies.end()) {
      replies.push_back(std::move(entry_reply));
      broadcasts.emplace_back();
    }
    broadcasts[index].to_instances.push_back(entry.id);
  }
  for (std::size_t i = 0; i < broadcasts.size(); ++i) {
    broadcasts[i].envelope = std::move(replies[i]);
    actions_.broadcasts.push_back(std::move(broadcasts[i]));
  }
}

void ControlNode::AddSettings(const std::string& entry,
                              protocol::HeartbeatReply& reply,
                              Time now) {
  settings_sender_.AddNext(
      entry, state_.revision(),
      [this](std::uint64_t held) { return MakeSettingsUpdate(held); }, reply,
      now);
}

// Adds the settings that this replica has applied, which are in force, to the
// answer to an entry whose leader doesn't send them in time.
void ControlNode::AddAskedSettings(const protocol::Heartbeat& heartbeat,
                                   protocol::HeartbeatReply& reply) {
  settings_sender_.AddAsked(
      heartbeat, state_.revision(),
      [this](std::uint64_t held) { return MakeSettingsUpdate(held); }, reply);
}

void ControlNode::SendToEntry(const std::string& entry,
                              protocol::Envelope envelope) {
  actions_.messages.push_back({entry, std::move(envelope)});
}

protocol::SettingsUpdate ControlNode::MakeSettingsUpdate(
    std::uint64_t held_revision) {
  protocol::SettingsUpdate update;
  update.revision = state_.revision();
  if (tree_text_revision_ != state_.revision()) {
    tree_text_revision_ = state_.revision();
    tree_text_ = state_.tree().ToIni();
    tree_checksum_ = Hash64(tree_text_);
  }
  update.checksum = tree_checksum_;
  auto changes =
      held_revision == 0 ? std::nullopt : state_.ChangesSince(held_revision);
  if (changes) {
    update.base_revision = held_revision;
    update.changes = std::move(*changes);
  } else {
    update.text = tree_text_;
  }
  LogEvent("settings_update_made")
      .With("base", update.base_revision)
      .With("revision", update.revision)
      .With("branches", update.changes.size());
  return update;
}

bool ControlNode::Leads() const {
  return replica_ && replica_->Leads();
}

bool ControlNode::HasLeaderLease(Time now) const {
  return replica_ && replica_->HoldsLease(now);
}

std::string ControlNode::LeaderInstance() const {
  if (!replica_)
    return "";
  return std::string(protocol::InstanceFromReplicaId(replica_->leader()));
}

}  // namespace jacinth::control
