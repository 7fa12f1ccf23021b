#include <algorithm>
#include <set>

#include "core/entry/control_session.h"
#include "core/protocol/table_digest.h"

namespace jacinth::entry {
namespace {

using protocol::Heartbeat;

/// Versions of lists hold the leader's term in the upper 32 bits.
constexpr unsigned kTermShift = 32;

}  // namespace

// Tells what this instance holds of the lists that are not from the current
// leader, which then sends only what differs.
void ControlSession::AddDigests(Heartbeat& heartbeat) {
  const auto is_foreign = [this](std::uint64_t version) {
    return version == 0 ||
           (leader_term_ != 0 && version >> kTermShift != leader_term_);
  };
  if (is_foreign(endpoints_version_))
    AddEndpointDigest(heartbeat);
  if (is_foreign(slices_.version())) {
    heartbeat.slice_digest = slices_.TellDigest();
    told_slices_with_ = heartbeat.sequence;
  }
}

void ControlSession::AddEndpointDigest(Heartbeat& heartbeat) const {
  if (heartbeat.endpoint_digest)
    return;
  protocol::TableDigest digest = protocol::MakeEndpointDigest();
  for (const auto& [id, endpoint] : endpoints_) {
    digest.Add(protocol::EndpointPart(id),
               protocol::EndpointItemHash(endpoint));
  }
  heartbeat.endpoint_digest = digest.ToBytes();
}

bool ControlSession::ApplyMembers(const protocol::MemberList& update) {
  if (update.version <= members_.version)
    return false;
  if (update.base == 0) {
    members_ = update;
    return true;
  }
  if (update.base != members_.version)
    return false;
  members_.version = update.version;
  std::erase_if(members_.entries, [&](const protocol::EntryStatus& member) {
    return std::find(update.removed.begin(), update.removed.end(), member.id) !=
           update.removed.end();
  });
  for (const protocol::EntryStatus& member : update.entries) {
    const auto found = std::lower_bound(
        members_.entries.begin(), members_.entries.end(), member.id,
        [](const protocol::EntryStatus& left, const std::string& id) {
          return left.id < id;
        });
    if (found != members_.entries.end() && found->id == member.id)
      *found = member;
    else
      members_.entries.insert(found, member);
  }
  return true;
}

void ControlSession::ApplyEndpointList(
    const std::vector<protocol::ListedEndpoint>& list,
    Duration took,
    Time now) {
  has_endpoint_list_ = true;
  ConfirmEndpoints(now - took);
  // Version 0 makes the leader send a complete list with its next update.
  endpoints_version_ = 0;
  list_replaced_after_ = sequence_;
  std::set<std::string> listed_ids;
  const protocol::LastProcesses last_processes(list);
  for (const protocol::ListedEndpoint& endpoint : list) {
    listed_ids.insert(endpoint.id);
    if (!last_processes.IsFollowed(endpoint) && SetEndpoint(endpoint, now))
      ++endpoint_changes_;
  }
  const std::size_t before = endpoints_.size();
  RemoveUnlisted(listed_ids, std::nullopt);
  if (endpoints_.size() != before)
    ++endpoint_changes_;
}

// Removes the endpoints that aren't listed, if `parts` is set only in these
// parts of the list.
void ControlSession::RemoveUnlisted(
    const std::set<std::string>& listed_ids,
    const std::optional<std::vector<int>>& parts) {
  const auto is_unlisted = [&](const auto& item) {
    const bool in_parts =
        !parts ||
        std::find(parts->begin(), parts->end(),
                  static_cast<int>(protocol::EndpointPart(item.first))) !=
            parts->end();
    return in_parts && listed_ids.count(item.first) == 0;
  };
  std::erase_if(endpoints_, is_unlisted);
  std::erase_if(cold_until_, is_unlisted);
}

Duration ControlSession::RemainingColdTime(const std::string& id,
                                           Time now) const {
  const auto found = cold_until_.find(id);
  return found == cold_until_.end()
             ? Duration{0}
             : std::max(Duration{0}, found->second - now);
}

// Stores an endpoint of a list and returns true if it has changed. An endpoint
// that was listed as draining stays in this state until it restarts, even if a
// later list has another state.
bool ControlSession::SetEndpoint(const protocol::ListedEndpoint& endpoint,
                                 Time now) {
  protocol::ListedEndpoint& current = endpoints_[endpoint.id];
  protocol::ListedEndpoint next = endpoint;
  if (current.started_ms == next.started_ms && current.address == next.address)
    next.draining |= current.draining;
  if (current == next)
    return false;
  cold_until_[endpoint.id] =
      now + std::chrono::milliseconds(endpoint.cold_for_ms);
  current = std::move(next);
  return true;
}

// Marks the listed processes of endpoints as draining, whoever has read that: a
// process never leaves this state. Returns true if that is new for any.
bool ControlSession::ApplyDrains(
    const std::vector<protocol::DrainReport>& drains) {
  bool changed = false;
  for (const protocol::DrainReport& report : drains) {
    const auto found = endpoints_.find(report.endpoint);
    if (found == endpoints_.end() || report.started_ms == 0)
      continue;
    protocol::ListedEndpoint& endpoint = found->second;
    // A later process has taken the place of the one that is listed here.
    const bool is_new = endpoint.started_ms <= report.started_ms &&
                        endpoint.address == report.address &&
                        !endpoint.draining;
    if (!is_new)
      continue;
    endpoint.draining = true;
    changed = true;
  }
  if (changed)
    ++endpoint_changes_;
  return changed;
}

bool ControlSession::ApplyEndpointUpdate(const protocol::EndpointUpdate& update,
                                         Time now) {
  if (update.version == 0 || update.version <= endpoints_version_)
    return false;
  if (update.base != 0 && update.base != endpoints_version_)
    return false;
  endpoints_version_ = update.version;
  has_endpoint_list_ = true;
  if (update.base == 0) {
    std::set<std::string> listed_ids;
    for (const protocol::ListedEndpoint& endpoint : update.changed)
      listed_ids.insert(endpoint.id);
    RemoveUnlisted(listed_ids, update.parts);
  }
  for (const protocol::ListedEndpoint& endpoint : update.changed)
    SetEndpoint(endpoint, now);
  for (const std::string& id : update.removed) {
    endpoints_.erase(id);
    cold_until_.erase(id);
  }
  ++endpoint_changes_;
  return true;
}

}  // namespace jacinth::entry
