#include "core/control/standby_list.h"

#include <algorithm>

namespace jacinth::control {
namespace {

/// Number of entries that are remembered, and the time for which they are.
constexpr std::size_t kMaxAskers = 1'024;
constexpr Duration kAskerMemory = 2s;
/// Shortest time between two readings.
constexpr Duration kReadingInterval = 500ms;

}  // namespace

void StandbyList::OnAsked(const std::string& entry,
                          const std::string& digest,
                          Time now) {
  if (askers_.size() < kMaxAskers || askers_.count(entry) != 0)
    askers_[entry] = {now, digest};
}

bool StandbyList::TakeReading(Time now) {
  if (now < next_reading_)
    return false;
  next_reading_ = now + kReadingInterval;
  return true;
}

void StandbyList::ApplyListing(
    const std::vector<protocol::ListedEndpoint>& list) {
  digest_ = protocol::MakeEndpointDigest();
  drains_.clear();
  for (const protocol::ListedEndpoint& endpoint : list) {
    const auto part = protocol::EndpointPart(endpoint.id);
    digest_.Add(part, protocol::EndpointItemHash(endpoint));
    // Nobody could tell when another process has taken the place of one with an
    // unknown start time.
    if (!endpoint.draining || endpoint.started_ms == 0)
      continue;
    drains_.emplace_back(static_cast<int>(part),
                         protocol::DrainReport{endpoint.id, endpoint.address,
                                               endpoint.started_ms});
  }
}

std::vector<protocol::DrainReport> StandbyList::DrainsFor(
    const std::string& digest) const {
  const std::vector<int> parts =
      digest.empty() ? std::vector<int>{} : digest_.DifferingParts(digest);
  std::vector<protocol::DrainReport> drains;
  for (const auto& [part, drain] : drains_) {
    const bool differs =
        digest.empty() || std::binary_search(parts.begin(), parts.end(), part);
    if (differs)
      drains.push_back(drain);
  }
  return drains;
}

std::map<std::string, std::string> StandbyList::Askers(Time now) {
  std::erase_if(askers_, [&](const auto& item) {
    return now > item.second.asked + kAskerMemory;
  });
  std::map<std::string, std::string> digests;
  for (const auto& [entry, asker] : askers_)
    digests[entry] = asker.digest;
  return digests;
}

}  // namespace jacinth::control
