#include "core/control/entry_registry.h"

#include <utility>

namespace jacinth::control {
namespace {

using protocol::EntryStatus;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Time for which an entry that was lost is remembered.
constexpr Duration kMaxLostTime = 60s;
/// Number of removals that are kept for updates of entries that lag behind.
constexpr std::size_t kMaxRemovals = 1'024;

// Compares the fields of the status that other entries use. The revision is not
// one of them.
bool SameMember(const EntryStatus& left, const EntryStatus& right) {
  return left.incarnation == right.incarnation && left.region == right.region &&
         left.failure_domain == right.failure_domain &&
         left.address == right.address && left.draining == right.draining &&
         left.isolated == right.isolated && left.starting == right.starting &&
         left.lost == right.lost;
}

// Returns true if callers lose the entry if it ends now.
bool CountsAsLost(const EntryStatus& status) {
  return status.lost || (!status.draining && !status.starting);
}

}  // namespace

void EntryRegistry::Reset(std::uint64_t term, Time now) {
  entries_.clear();
  removed_.clear();
  lost_.clear();
  term_start_ = now;
  version_ = (term << kTermShift) + 1;
  first_version_ = version_;
}

void EntryRegistry::OnHeartbeat(const EntryStatus& status, Time now) {
  const auto [entry, added] = entries_.try_emplace(status.id);
  EntryRecord& record = entry->second;
  EntryStatus listed = Listed(status, added ? nullptr : &record);
  if (added || !SameMember(record.status, listed))
    record.changed = ++version_;
  record.status = std::move(listed);
  record.last_heartbeat = now;
}

EntryStatus EntryRegistry::Listed(const EntryStatus& status,
                                  const EntryRecord* previous) {
  EntryStatus listed = status;
  const bool was_removed = lost_.erase(status.id) > 0;
  listed.lost = false;
  if (!status.starting || status.draining)
    return listed;
  if (previous == nullptr)
    listed.lost = was_removed;
  else if (previous->status.incarnation == status.incarnation)
    listed.lost = previous->status.lost;
  else
    listed.lost = CountsAsLost(previous->status);
  return listed;
}

void EntryRegistry::Expire(Time now) {
  const std::uint64_t next = version_ + 1;
  std::erase_if(entries_, [&](const auto& entry) {
    if (now <= entry.second.last_heartbeat + timeout_)
      return false;
    removed_.emplace_back(next, entry.first);
    if (CountsAsLost(entry.second.status))
      lost_.emplace(entry.first, now);
    version_ = next;
    return true;
  });
  std::erase_if(lost_, [&](const auto& lost) {
    return now >= lost.second + kMaxLostTime;
  });
  while (removed_.size() > kMaxRemovals) {
    // Entries that hold an older version are sent the whole list.
    first_version_ = removed_.front().first;
    removed_.pop_front();
  }
}

std::uint64_t EntryRegistry::Version(Time now) const {
  return now < term_start_ + timeout_ ? 0 : version_;
}

protocol::MemberList EntryRegistry::Members(Time now) const {
  protocol::MemberList members;
  members.version = Version(now);
  if (members.version != 0)
    members.entries = Statuses();
  return members;
}

protocol::MemberList EntryRegistry::ChangesSince(std::uint64_t version,
                                                 Time now) const {
  const std::uint64_t current = Version(now);
  if (current == 0 || version == current)
    return {};
  if (!KeepsChangesSince(version))
    return Members(now);
  protocol::MemberList members;
  members.version = current;
  members.base = version;
  for (const auto& [id, entry] : entries_) {
    if (entry.changed > version)
      members.entries.push_back(entry.status);
  }
  for (const auto& [removal_version, id] : removed_) {
    if (removal_version > version && entries_.count(id) == 0)
      members.removed.push_back(id);
  }
  return members;
}

std::vector<EntryStatus> EntryRegistry::Statuses() const {
  std::vector<EntryStatus> statuses;
  for (const auto& [id, entry] : entries_)
    statuses.push_back(entry.status);
  return statuses;
}

}  // namespace jacinth::control
