#include "core/control/entry_registry.h"

namespace jacinth::control {
namespace {

using protocol::EntryStatus;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Number of removals that are kept for updates of entries that lag behind.
constexpr std::size_t kMaxRemovals = 1'024;

// Compares the fields of the status that other entries use. The revision is not
// one of them.
bool SameMember(const EntryStatus& left, const EntryStatus& right) {
  return left.incarnation == right.incarnation && left.region == right.region &&
         left.failure_domain == right.failure_domain &&
         left.address == right.address && left.draining == right.draining &&
         left.isolated == right.isolated && left.starting == right.starting;
}

}  // namespace

void EntryRegistry::Reset(std::uint64_t term, Time now) {
  entries_.clear();
  removed_.clear();
  term_start_ = now;
  version_ = (term << kTermShift) + 1;
  first_version_ = version_;
}

void EntryRegistry::OnHeartbeat(const EntryStatus& status, Time now) {
  const auto [entry, added] = entries_.try_emplace(status.id);
  EntryRecord& record = entry->second;
  if (added || !SameMember(record.status, status))
    record.changed = ++version_;
  record.status = status;
  record.last_heartbeat = now;
}

void EntryRegistry::Expire(Time now) {
  const std::uint64_t next = version_ + 1;
  std::erase_if(entries_, [&](const auto& entry) {
    if (now <= entry.second.last_heartbeat + timeout_)
      return false;
    removed_.emplace_back(next, entry.first);
    version_ = next;
    return true;
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
