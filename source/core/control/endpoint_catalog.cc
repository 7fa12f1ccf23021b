#include "core/control/endpoint_catalog.h"

#include <algorithm>
#include <set>

namespace jacinth::control {
namespace {

using protocol::EndpointUpdate;
using protocol::ListedEndpoint;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Number of removals that are kept for updates of entries that lag behind.
constexpr std::size_t kMaxRemovals = 1'024;
/// Tolerance when the ends of warm-ups are compared: the ends computed from
/// listings of the same warm-up differ by the transit times of these listings.
constexpr Duration kWarmupJitter = 1s;

bool EqualExceptWarmup(ListedEndpoint left, const ListedEndpoint& right) {
  left.cold_for_ms = right.cold_for_ms;
  return left == right;
}

}  // namespace

void EndpointCatalog::Reset(std::uint64_t term) {
  endpoints_.clear();
  by_change_.clear();
  removed_.clear();
  first_version_ = (term << kTermShift) + 1;
  version_ = 0;
}

bool EndpointCatalog::ApplyListing(const std::vector<ListedEndpoint>& list,
                                   Time now) {
  const std::uint64_t next = version_ == 0 ? first_version_ : version_ + 1;
  bool changed = version_ == 0;
  std::set<std::string> listed;
  const protocol::LastProcesses last_processes(list);
  for (const ListedEndpoint& endpoint : list) {
    listed.insert(endpoint.id);
    if (!last_processes.IsFollowed(endpoint))
      changed |= UpdateEndpoint(endpoint, next, now);
  }
  std::erase_if(endpoints_, [&](const auto& item) {
    if (listed.count(item.first) != 0)
      return false;
    by_change_.erase({item.second.changed, item.first});
    removed_.emplace_back(next, item.first);
    changed = true;
    return true;
  });
  while (removed_.size() > kMaxRemovals) {
    // Entries that hold an older version are sent the whole list.
    first_version_ = removed_.front().first + 1;
    removed_.pop_front();
  }
  if (changed)
    version_ = next;
  return changed;
}

bool EndpointCatalog::ApplyDrainReport(const protocol::DrainReport& report) {
  const auto found = endpoints_.find(report.endpoint);
  if (found == endpoints_.end() || report.started_ms == 0)
    return false;
  TrackedEndpoint& tracked = found->second;
  const bool new_drain = tracked.endpoint.started_ms == report.started_ms &&
                         tracked.endpoint.address == report.address &&
                         !tracked.endpoint.draining;
  if (!new_drain)
    return false;
  tracked.endpoint.draining = true;
  SetChanged(tracked, ++version_);
  return true;
}

EndpointUpdate EndpointCatalog::UpdateFor(std::uint64_t version,
                                          Time now) const {
  EndpointUpdate update;
  if (version_ == 0 || version == version_)
    return update;
  update.version = version_;
  if (!KeepsChangesSince(version)) {
    update.changed = Endpoints(now);
    return update;
  }
  update.base = version;
  const auto first = by_change_.lower_bound({version + 1, ""});
  for (auto change = first; change != by_change_.end(); ++change) {
    update.changed.push_back(
        ToListedEndpoint(endpoints_.at(change->second), now));
  }
  for (const auto& [removal_version, id] : removed_) {
    if (removal_version > version && endpoints_.count(id) == 0)
      update.removed.push_back(id);
  }
  return update;
}

EndpointUpdate EndpointCatalog::UpdateForDigest(const std::string& digest,
                                                Time now) const {
  EndpointUpdate update;
  if (version_ == 0)
    return update;
  update.version = version_;
  protocol::TableDigest own = protocol::MakeEndpointDigest();
  for (const auto& [id, tracked] : endpoints_) {
    own.Add(protocol::EndpointPart(id),
            protocol::EndpointItemHash(tracked.endpoint));
  }
  const std::vector<int> parts = own.DifferingParts(digest);
  if (parts.size() == own.parts()) {
    update.changed = Endpoints(now);
    return update;
  }
  for (const auto& [id, tracked] : endpoints_) {
    const auto part = static_cast<int>(protocol::EndpointPart(id));
    if (std::binary_search(parts.begin(), parts.end(), part))
      update.changed.push_back(ToListedEndpoint(tracked, now));
  }
  update.parts = parts;
  return update;
}

std::vector<ListedEndpoint> EndpointCatalog::Endpoints(Time now) const {
  std::vector<ListedEndpoint> all;
  for (const auto& [id, tracked] : endpoints_)
    all.push_back(ToListedEndpoint(tracked, now));
  return all;
}

bool EndpointCatalog::IsDraining(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found != endpoints_.end() && found->second.endpoint.draining;
}

bool EndpointCatalog::UpdateEndpoint(const ListedEndpoint& endpoint,
                                     std::uint64_t version,
                                     Time now) {
  const Time cold_until = now + std::chrono::milliseconds(endpoint.cold_for_ms);
  const auto [found, added] = endpoints_.try_emplace(endpoint.id);
  TrackedEndpoint& tracked = found->second;
  ListedEndpoint next = endpoint;
  const bool same_start = !added &&
                          tracked.endpoint.started_ms == endpoint.started_ms &&
                          tracked.endpoint.address == endpoint.address;
  if (same_start)
    next.draining |= tracked.endpoint.draining;
  const bool warmup_restarted =
      cold_until > tracked.cold_until + kWarmupJitter &&
      endpoint.cold_for_ms > 0;
  if (!added && EqualExceptWarmup(tracked.endpoint, next) && !warmup_restarted)
    return false;
  tracked.endpoint = std::move(next);
  tracked.cold_until = cold_until;
  SetChanged(tracked, version);
  return true;
}

void EndpointCatalog::SetChanged(TrackedEndpoint& tracked,
                                 std::uint64_t version) {
  by_change_.erase({tracked.changed, tracked.endpoint.id});
  tracked.changed = version;
  by_change_.insert({version, tracked.endpoint.id});
}

ListedEndpoint EndpointCatalog::ToListedEndpoint(const TrackedEndpoint& tracked,
                                                 Time now) {
  ListedEndpoint endpoint = tracked.endpoint;
  endpoint.cold_for_ms =
      std::max<std::int64_t>(0, ToMillis(tracked.cold_until - now));
  return endpoint;
}

}  // namespace jacinth::control
