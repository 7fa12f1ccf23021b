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

void StandbyList::OnAsked(const protocol::Heartbeat& heartbeat, Time now) {
  const std::string& entry = heartbeat.status.id;
  if (askers_.size() >= kMaxAskers && askers_.count(entry) == 0)
    return;
  askers_[entry] = {now, heartbeat.sequence,
                    heartbeat.endpoint_digest.value_or("")};
}

bool StandbyList::TakeReading(Time now) {
  if (now < next_reading_)
    return false;
  next_reading_ = now + kReadingInterval;
  return true;
}

void StandbyList::ApplyListing(
    const std::vector<protocol::ListedEndpoint>& list,
    Time began) {
  read_at_ = began;
  digest_ = protocol::MakeEndpointDigest();
  drains_.clear();
  unreported_parts_.clear();
  for (const protocol::ListedEndpoint& endpoint : list) {
    const auto part = protocol::EndpointPart(endpoint.id);
    digest_.Add(part, protocol::EndpointItemHash(endpoint));
    if (!endpoint.draining)
      continue;
    // Nobody could tell when another process has taken the place of one with an
    // unknown start time.
    if (endpoint.started_ms == 0) {
      unreported_parts_.insert(static_cast<int>(part));
      continue;
    }
    drains_.emplace_back(static_cast<int>(part),
                         protocol::DrainReport{endpoint.id, endpoint.address,
                                               endpoint.started_ms});
  }
}

std::optional<protocol::ListingState> StandbyList::StateAt(
    Time asked,
    const std::string& digest) const {
  if (!read_at_)
    return std::nullopt;
  // An entry whose part of the list is the same knows them from elsewhere.
  if (!unreported_parts_.empty()) {
    for (const int part : digest_.DifferingParts(digest)) {
      if (unreported_parts_.count(part) != 0)
        return std::nullopt;
    }
  }
  protocol::ListingState state;
  state.age_ms = std::max<std::int64_t>(0, ToMillis(asked - *read_at_));
  return state;
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

const std::map<std::string, StandbyList::Asker>& StandbyList::Askers(Time now) {
  std::erase_if(askers_, [&](const auto& item) {
    return now > item.second.asked + kAskerMemory;
  });
  return askers_;
}

}  // namespace jacinth::control
