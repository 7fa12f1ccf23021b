#include "core/control/endpoint_catalog.h"

#include <algorithm>
#include <set>

namespace jacinth::control {
namespace {

using protocol::EndpointUpdate;
using protocol::ListedEndpoint;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Removals that are kept for the updates of entries that lag behind.
constexpr std::size_t kMaxRemovals = 1'024;
/// Tolerance when warm-up ends are compared: readings of the same warm-up
/// differ by their time in transit.
constexpr Duration kWarmupJitter = 1s;

bool SameBut(ListedEndpoint left, const ListedEndpoint& right) {
  left.cold_for_ms = right.cold_for_ms;
  return left == right;
}

}  // namespace

void EndpointCatalog::Reset(std::uint64_t term) {
  rows_.clear();
  removed_.clear();
  first_version_ = (term << kTermShift) + 1;
  version_ = 0;
}

bool EndpointCatalog::Take(const std::vector<ListedEndpoint>& list, Time now) {
  const std::uint64_t next = version_ == 0 ? first_version_ : version_ + 1;
  bool changed = version_ == 0;
  std::set<std::string> listed;
  for (const ListedEndpoint& endpoint : list) {
    listed.insert(endpoint.id);
    changed |= TakeRow(endpoint, next, now);
  }
  std::erase_if(rows_, [&](const auto& item) {
    if (listed.count(item.first) != 0)
      return false;
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

EndpointUpdate EndpointCatalog::UpdateFor(std::uint64_t version,
                                          Time now) const {
  EndpointUpdate update;
  if (version_ == 0 || version == version_)
    return update;
  update.version = version_;
  const bool known = version >= first_version_ && version < version_;
  update.base = known ? version : 0;
  for (const auto& [id, row] : rows_) {
    if (!known || row.changed > version)
      update.changed.push_back(Describe(row, now));
  }
  if (!known)
    return update;
  for (const auto& [at, id] : removed_) {
    if (at > version && rows_.count(id) == 0)
      update.removed.push_back(id);
  }
  return update;
}

std::vector<ListedEndpoint> EndpointCatalog::All(Time now) const {
  std::vector<ListedEndpoint> all;
  for (const auto& [id, row] : rows_)
    all.push_back(Describe(row, now));
  return all;
}

bool EndpointCatalog::TakeRow(const ListedEndpoint& endpoint,
                              std::uint64_t version,
                              Time now) {
  const Time cold_until = now + std::chrono::milliseconds(endpoint.cold_for_ms);
  const auto [found, added] = rows_.try_emplace(endpoint.id);
  Row& row = found->second;
  ListedEndpoint next = endpoint;
  const bool same_start = !added &&
                          row.endpoint.started_ms == endpoint.started_ms &&
                          row.endpoint.address == endpoint.address;
  if (same_start)
    next.draining |= row.endpoint.draining;
  const bool colder =
      cold_until > row.cold_until + kWarmupJitter && endpoint.cold_for_ms > 0;
  if (!added && SameBut(row.endpoint, next) && !colder)
    return false;
  row.endpoint = std::move(next);
  row.cold_until = cold_until;
  row.changed = version;
  return true;
}

ListedEndpoint EndpointCatalog::Describe(const Row& row, Time now) {
  ListedEndpoint endpoint = row.endpoint;
  endpoint.cold_for_ms =
      std::max<std::int64_t>(0, ToMillis(row.cold_until - now));
  return endpoint;
}

}  // namespace jacinth::control
