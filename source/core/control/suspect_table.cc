#include "core/control/suspect_table.h"

#include <algorithm>
#include <set>

namespace jacinth::control {
namespace {

/// Number of requests that are kept; those that expire first go first.
constexpr std::size_t kMaxItems = 256;
/// Number of removals that are kept for entries that lag behind.
constexpr std::size_t kMaxRemovals = 1'024;

}  // namespace

void SuspectTable::Apply(const protocol::RecordSuspects& record) {
  ++version_;
  for (const protocol::SuspectRequest& request : record.requests) {
    if (request.endpoints.empty())
      Remove(request.fingerprint);
    else
      Set(request);
  }
  while (items_.size() > kMaxItems) {
    const auto first = std::min_element(
        items_.begin(), items_.end(), [](const auto& left, const auto& right) {
          return left.second.request.expires_ms <
                 right.second.request.expires_ms;
        });
    Remove(first->first);
  }
}

void SuspectTable::Expire(WallMillis now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [fingerprint, item] : items_) {
    if (item.request.expires_ms <= now)
      expired.push_back(fingerprint);
  }
  if (expired.empty())
    return;
  ++version_;
  for (const std::uint64_t fingerprint : expired)
    Remove(fingerprint);
}

void SuspectTable::Replace(
    const std::vector<protocol::SuspectRequest>& requests) {
  ++version_;
  first_version_ = version_;
  items_.clear();
  removed_.clear();
  for (const protocol::SuspectRequest& request : requests)
    Set(request);
}

std::vector<std::uint64_t> SuspectTable::RemovedSince(
    std::uint32_t version) const {
  std::set<std::uint64_t> fingerprints;
  for (const auto& [removal_version, fingerprint] : removed_) {
    if (removal_version > version && items_.count(fingerprint) == 0)
      fingerprints.insert(fingerprint);
  }
  return {fingerprints.begin(), fingerprints.end()};
}

void SuspectTable::Set(const protocol::SuspectRequest& request) {
  items_[request.fingerprint] = {request, version_};
}

void SuspectTable::Remove(std::uint64_t fingerprint) {
  if (items_.erase(fingerprint) == 0)
    return;
  removed_.emplace_back(version_, fingerprint);
  while (removed_.size() > kMaxRemovals) {
    // Entries that hold an older version are sent the whole list.
    first_version_ = removed_.front().first;
    removed_.pop_front();
  }
}

}  // namespace jacinth::control
