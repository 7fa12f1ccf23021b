#include "core/control/entry_registry.h"

namespace jacinth::control {
namespace {

using protocol::EntryStatus;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;

// Compares the fields of the status that other entries use. The revision is not
// one of them.
bool SameMember(const EntryStatus& left, const EntryStatus& right) {
  return left.incarnation == right.incarnation && left.region == right.region &&
         left.failure_domain == right.failure_domain &&
         left.address == right.address && left.draining == right.draining &&
         left.isolated == right.isolated;
}

}  // namespace

void EntryRegistry::Reset(std::uint64_t term, Time now) {
  entries_.clear();
  term_start_ = now;
  version_ = (term << kTermShift) + 1;
}

void EntryRegistry::OnHeartbeat(const EntryStatus& status, Time now) {
  const auto [entry, added] =
      entries_.try_emplace(status.id, EntryRecord{status, now});
  if (added || !SameMember(entry->second.status, status))
    ++version_;
  entry->second = {status, now};
}

void EntryRegistry::Expire(Time now) {
  const auto removed = std::erase_if(entries_, [&](const auto& entry) {
    return now > entry.second.last_heartbeat + timeout_;
  });
  if (removed != 0)
    ++version_;
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

std::vector<EntryStatus> EntryRegistry::Statuses() const {
  std::vector<EntryStatus> statuses;
  for (const auto& [id, entry] : entries_)
    statuses.push_back(entry.status);
  return statuses;
}

}  // namespace jacinth::control
