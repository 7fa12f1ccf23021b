#include "core/control/entry_registry.h"

namespace jacinth::control {
namespace {

using protocol::EntryStatus;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;

// Compares what other entries use of a status. The revision is not among it.
bool SameMember(const EntryStatus& left, const EntryStatus& right) {
  return left.incarnation == right.incarnation && left.region == right.region &&
         left.failure_domain == right.failure_domain &&
         left.address == right.address && left.draining == right.draining;
}

}  // namespace

void EntryRegistry::Reset(std::uint64_t term, Time now) {
  rows_.clear();
  started_ = now;
  version_ = (term << kTermShift) + 1;
}

void EntryRegistry::OnHeartbeat(const EntryStatus& status, Time now) {
  const auto [row, added] = rows_.try_emplace(status.id, Row{status, now});
  if (added || !SameMember(row->second.status, status))
    ++version_;
  row->second = {status, now};
}

void EntryRegistry::Expire(Time now) {
  const auto removed = std::erase_if(rows_, [&](const auto& row) {
    return now > row.second.heard + timeout_;
  });
  if (removed != 0)
    ++version_;
}

std::uint64_t EntryRegistry::Version(Time now) const {
  return now < started_ + timeout_ ? 0 : version_;
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
  for (const auto& [id, row] : rows_)
    statuses.push_back(row.status);
  return statuses;
}

}  // namespace jacinth::control
