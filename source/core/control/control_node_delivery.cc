#include <algorithm>
#include <map>
#include <utility>

#include "core/control/control_node.h"

namespace jacinth::control {
namespace {

/// Time after which an unconfirmed message is taken to be lost.
constexpr Duration kResendAfter = 1s;
/// The same for a whole table, which can take seconds on a narrow link.
constexpr Duration kResendTableAfter = 3s;
/// Time after a whole table, for each of its items and for each of them that is
/// sent to an entry, in which no other table is sent.
constexpr Duration kTableItemTime = std::chrono::microseconds(4);
constexpr Duration kSentItemTime = std::chrono::microseconds(1);
/// Number of entries that a table is sent to at once.
constexpr std::size_t kMaxTableReceivers = 32;
/// Number of different updates of the slice owners that are made for one push.
/// While entries claim slices, almost each holds another version.
constexpr std::size_t kMaxSliceGroups = 8;
/// Time without tables that is made up for at once.
constexpr Duration kTableBurst = 20ms;

}  // namespace

// Adds the changes of the member list, or the whole list for an entry that
// takes no changes.
void ControlNode::AddMembers(EntryDelivery& delivery,
                             const protocol::Heartbeat& heartbeat,
                             protocol::HeartbeatReply& reply,
                             Time now) {
  const std::uint64_t current = registry_.Version(now);
  const std::uint64_t base = delivery.members.Base(now);
  if (current == 0 || base == current)
    return;
  if (!heartbeat.takes_changes) {
    reply.members = registry_.Members(now);
    reply.replicas = ReplicaInstances();
  } else if (registry_.KeepsChangesSince(base)) {
    reply.members = registry_.ChangesSince(base, now);
  } else {
    return;
  }
  delivery.members.OnSent(current, kResendAfter, now);
}

void ControlNode::AddChanges(EntryDelivery& delivery,
                             protocol::HeartbeatReply& reply,
                             Time now) {
  const std::uint64_t endpoints = delivery.endpoints.Base(now);
  if (endpoints != catalog_.version() &&
      catalog_.KeepsChangesSince(endpoints)) {
    reply.endpoints = catalog_.UpdateFor(endpoints, now);
    delivery.endpoints.OnSent(catalog_.version(), kResendAfter, now);
  }
  const std::uint64_t slices = delivery.slices.Base(now);
  if (slices != slices_.version() && slices_.IsFromTerm(slices)) {
    reply.slices = slices_.UpdateFor(slices);
    delivery.slices.OnSent(slices_.version(), kResendAfter, now);
  }
}

// Queues the entry if it holds lists whose changes the leader doesn't know,
// such as those of another leader.
void ControlNode::QueueTables(const std::string& entry,
                              EntryDelivery& delivery,
                              const protocol::Heartbeat& heartbeat,
                              Time now) {
  // Entries that take changes tell what they hold once they know the term.
  const bool may_send_endpoints =
      !heartbeat.takes_changes || heartbeat.endpoint_digest;
  const bool may_send_slices =
      !heartbeat.takes_changes || heartbeat.slice_digest;
  const bool needs_endpoints =
      catalog_.version() != 0 &&
      !catalog_.KeepsChangesSince(delivery.endpoints.Base(now));
  const bool needs_slices = !slices_.IsFromTerm(delivery.slices.Base(now));
  delivery.wants_endpoints = needs_endpoints && may_send_endpoints;
  delivery.wants_slices = needs_slices && may_send_slices;
  if (!delivery.WantsAny())
    return;
  delivery.endpoint_digest = heartbeat.endpoint_digest.value_or("");
  delivery.slice_digest = heartbeat.slice_digest.value_or("");
  if (!std::exchange(delivery.is_queued, true))
    table_queue_.push_back(entry);
}

// Sends whole tables, or what differs in them, to the entries that wait for
// them: not to all at once, so that a fleet that starts anew leaves the leader
// time for its replicas.
void ControlNode::ServeTableQueue(Time now) {
  while (!table_queue_.empty() && now >= next_table_) {
    const std::string first = std::move(table_queue_.front());
    table_queue_.pop_front();
    const auto found = deliveries_.find(first);
    if (found == deliveries_.end())
      continue;
    const EntryDelivery lacking = found->second;
    std::vector<std::string> entries = {first};
    if (!lacking.WantsParts()) {
      std::erase_if(table_queue_, [&](const std::string& entry) {
        const auto other = deliveries_.find(entry);
        const bool is_same =
            other != deliveries_.end() && other->second.WantsSame(lacking);
        if (!is_same || entries.size() >= kMaxTableReceivers)
          return false;
        entries.push_back(entry);
        return true;
      });
    }
    const std::size_t items = SendTables(lacking, entries, now);
    DelayTables(items, entries.size(), now);
  }
}

// Leaves the leader the time that the items of a table have taken, sent to some
// entries.
void ControlNode::DelayTables(std::size_t items,
                              std::size_t receivers,
                              Time now) {
  next_table_ =
      std::max(next_table_, now - kTableBurst) +
      static_cast<int>(items) *
          (kTableItemTime + static_cast<int>(receivers) * kSentItemTime);
}

// Sends the tables that `lacking` wants to the entries, the endpoints first:
// with them, requests can be served. Returns the number of items.
std::size_t ControlNode::SendTables(const EntryDelivery& lacking,
                                    const std::vector<std::string>& entries,
                                    Time now) {
  for (const std::string& entry : entries) {
    EntryDelivery& delivery = deliveries_.at(entry);
    delivery.is_queued = false;
    delivery.wants_endpoints = false;
    delivery.wants_slices = false;
    if (lacking.wants_endpoints)
      delivery.endpoints.OnSent(catalog_.version(), kResendTableAfter, now);
    if (lacking.wants_slices)
      delivery.slices.OnSent(slices_.version(), kResendTableAfter, now);
  }
  protocol::HeartbeatReply empty = MakeTableReply(entries, now);
  std::size_t items = 1;
  if (lacking.wants_endpoints) {
    protocol::HeartbeatReply reply = empty;
    reply.endpoints =
        lacking.endpoint_digest.empty()
            ? catalog_.UpdateFor(0, now)
            : catalog_.UpdateForDigest(lacking.endpoint_digest, now);
    items += reply.endpoints.changed.size();
    actions_.broadcasts.push_back({entries, std::move(reply)});
  }
  if (lacking.wants_slices) {
    protocol::HeartbeatReply reply = std::move(empty);
    reply.slices = lacking.slice_digest.empty()
                       ? slices_.UpdateFor(0)
                       : slices_.UpdateForDigest(lacking.slice_digest);
    items += reply.slices.changed.size();
    actions_.broadcasts.push_back({entries, std::move(reply)});
  }
  return items;
}

// Sends the members and the suspects as a whole to the entries that hold those
// of another leader, or none. Both lists are the same for all entries: at once
// if none was sent lately, and otherwise in one message to all that have turned
// to this leader meanwhile.
void ControlNode::PushWholeLists(ClockReading clock) {
  const Time now = clock.now;
  if (now < next_whole_lists_)
    return;
  std::vector<std::string> lack_members;
  std::vector<std::string> lack_suspects;
  for (auto& [entry, delivery] : deliveries_) {
    if (NeedsAllMembers(delivery, now)) {
      delivery.members.OnSent(registry_.Version(now), kResendTableAfter, now);
      lack_members.push_back(entry);
    }
    if (NeedsAllSuspects(delivery, now)) {
      delivery.suspects.OnSent(SuspectsVersion(), kResendTableAfter, now);
      lack_suspects.push_back(entry);
    }
  }
  if (lack_members.empty() && lack_suspects.empty())
    return;
  next_whole_lists_ = now + PushInterval();
  if (!lack_members.empty()) {
    protocol::HeartbeatReply reply = MakeTableReply(lack_members, now);
    reply.members = registry_.Members(now);
    reply.replicas = ReplicaInstances();
    DelayTables(reply.members.entries.size(), lack_members.size(), now);
    actions_.broadcasts.push_back({std::move(lack_members), std::move(reply)});
  }
  if (!lack_suspects.empty()) {
    protocol::HeartbeatReply reply = MakeTableReply(lack_suspects, now);
    reply.suspects = SuspectsFor(0, clock);
    DelayTables(reply.suspects.requests.size(), lack_suspects.size(), now);
    actions_.broadcasts.push_back({std::move(lack_suspects), std::move(reply)});
  }
}

bool ControlNode::NeedsAllMembers(const EntryDelivery& delivery,
                                  Time now) const {
  return registry_.Version(now) != 0 && delivery.takes_member_changes &&
         !registry_.KeepsChangesSince(delivery.members.Base(now));
}

bool ControlNode::NeedsAllSuspects(const EntryDelivery& delivery,
                                   Time now) const {
  const std::uint64_t base = delivery.suspects.Base(now);
  return base != SuspectsVersion() &&
         !(delivery.takes_suspect_changes && KeepsSuspectsSince(base));
}

protocol::HeartbeatReply ControlNode::MakeReply(Time now) const {
  protocol::HeartbeatReply reply;
  reply.listing.emplace();
  reply.listing->version = catalog_.version();
  reply.listing->age_ms = ToMillis(now - list_read_at_);
  reply.listing->interval_ms = ToMillis(options_.listing_interval);
  reply.leader = true;
  reply.leader_hint = LeaderInstance();
  reply.revision = state_.revision();
  reply.term = replica_->term();
  return reply;
}

// A message to one entry answers its heartbeat: an entry without settings takes
// nothing else.
protocol::HeartbeatReply ControlNode::MakeTableReply(
    const std::vector<std::string>& entries,
    Time now) const {
  protocol::HeartbeatReply reply = MakeReply(now);
  if (entries.size() == 1)
    reply.sequence = deliveries_.at(entries.front()).sequence;
  return reply;
}

// Sends changed lists to the entries whose lists are from this term. Entries
// that lack the same, or almost the same, are sent the same message.
void ControlNode::PushLists(ClockReading clock) {
  const Time now = clock.now;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<SliceBase>>
      bases;
  for (auto& [entry, delivery] : deliveries_) {
    protocol::RateShareUpdate shares = RateSharesFor(entry, delivery, now);
    if (shares.version != 0 && !shares.unchanged) {
      delivery.rate_shares = shares.version;
      protocol::HeartbeatReply reply = MakeReply(now);
      reply.rate_shares = std::move(shares);
      SendToEntry(entry, std::move(reply));
    }
    std::uint64_t endpoints = delivery.endpoints.Base(now);
    std::uint64_t slices = delivery.slices.Base(now);
    if (catalog_.KeepsChangesSince(endpoints))
      delivery.endpoints.OnSent(catalog_.version(), kResendAfter, now);
    else
      endpoints = catalog_.version();
    if (slices_.IsFromTerm(slices))
      delivery.slices.OnSent(slices_.version(), kResendAfter, now);
    else
      slices = slices_.version();
    std::uint64_t suspects = delivery.suspects.Base(now);
    if (delivery.takes_suspect_changes && KeepsSuspectsSince(suspects))
      delivery.suspects.OnSent(SuspectsVersion(), kResendAfter, now);
    else
      suspects = SuspectsVersion();
    bases[{endpoints, suspects}].push_back({slices, &entry});
  }
  for (auto& [other_bases, slice_bases] : bases) {
    const auto& [endpoints, suspects] = other_bases;
    protocol::HeartbeatReply reply = MakeReply(now);
    reply.endpoints = catalog_.UpdateFor(endpoints, now);
    reply.suspects = SuspectsFor(suspects, clock);
    for (std::vector<SliceBase>& group : GroupByBase(std::move(slice_bases))) {
      reply.slices = slices_.UpdateFor(group.front().base);
      if (reply.endpoints.version == 0 && reply.slices.version == 0 &&
          reply.suspects.unchanged)
        continue;
      std::vector<std::string> entries;
      entries.reserve(group.size());
      for (const SliceBase& item : group)
        entries.push_back(*item.entry);
      actions_.broadcasts.push_back({std::move(entries), reply});
    }
  }
}

// Divides the entries into groups of similar versions of the slice owners,
// lowest first: entries take updates that begin earlier than what they hold.
// Those that lack nothing are a group of their own.
std::vector<std::vector<ControlNode::SliceBase>> ControlNode::GroupByBase(
    std::vector<SliceBase> bases) const {
  std::sort(bases.begin(), bases.end(),
            [](const SliceBase& left, const SliceBase& right) {
              return left.base < right.base;
            });
  const auto first_current = std::find_if(
      bases.begin(), bases.end(),
      [this](const SliceBase& item) { return item.base == slices_.version(); });
  const auto lagging = static_cast<std::size_t>(first_current - bases.begin());
  const std::size_t group_size = std::max<std::size_t>(
      1, (lagging + kMaxSliceGroups - 1) / kMaxSliceGroups);
  std::vector<std::vector<SliceBase>> groups;
  for (std::size_t begin = 0; begin < bases.size();) {
    const std::size_t limit = begin < lagging ? lagging : bases.size();
    std::size_t end =
        begin < lagging ? std::min(begin + group_size, limit) : limit;
    while (end < limit && bases[end].base == bases[begin].base)
      ++end;
    groups.emplace_back(bases.begin() + static_cast<std::ptrdiff_t>(begin),
                        bases.begin() + static_cast<std::ptrdiff_t>(end));
    begin = end;
  }
  return groups;
}

}  // namespace jacinth::control
