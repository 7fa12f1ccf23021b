#include "core/quarantine/crash_history.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::quarantine {
namespace {

/// Number of crashes kept; requests that caused more are blocked anyway.
constexpr std::size_t kMaxCrashes = 8;
/// Bound on the error of times that were reported by other nodes.
constexpr Duration kTimeError = 50ms;

}  // namespace

std::uint64_t EndpointHash(const std::string& service,
                           const std::string& endpoint,
                           std::int64_t started_ms) {
  return Hash64(service,
                Hash64(endpoint, static_cast<std::uint64_t>(started_ms)));
}

bool CrashHistory::Add(std::uint64_t endpoint, Time sent, Time ended) {
  const bool known = std::any_of(
      crashes_.begin(), crashes_.end(),
      [&](const Crash& crash) { return crash.endpoint == endpoint; });
  if (known)
    return false;
  const auto position =
      std::find_if(crashes_.begin(), crashes_.end(),
                   [&](const Crash& crash) { return crash.ended > ended; });
  crashes_.insert(position, {endpoint, sent, ended});
  if (crashes_.size() > kMaxCrashes)
    crashes_.erase(crashes_.begin());
  return true;
}

void CrashHistory::SetCounted(std::vector<std::uint64_t> endpoints,
                              Time now,
                              Time until) {
  const bool changed = endpoints != counted_;
  counted_ = std::move(endpoints);
  counted_until_ = until;
  if (changed)
    counted_at_ = counted_.empty() ? Time::min() : now;
}

void CrashHistory::Expire(Time now) {
  std::erase_if(crashes_, [&](const Crash& crash) {
    return now >= crash.ended + kMaxAge;
  });
  if (!counted_.empty() && now >= counted_until_)
    SetCounted({}, now, Time::min());
}

void CrashHistory::CountSequence(Time until) {
  auto [endpoints, last_ended] = FindSequence();
  counted_ = std::move(endpoints);
  counted_at_ = last_ended;
  counted_until_ = until;
}

std::vector<std::uint64_t> CrashHistory::Sequence() const {
  return FindSequence().first;
}

// The crashes are in the order of their ends, so that taking each one that
// began after the last one taken gives the longest sequence.
std::pair<std::vector<std::uint64_t>, Time> CrashHistory::FindSequence() const {
  std::vector<std::uint64_t> endpoints = counted_;
  Time last_ended = counted_at_;
  for (const Crash& crash : crashes_) {
    const bool counted = std::find(counted_.begin(), counted_.end(),
                                   crash.endpoint) != counted_.end();
    const bool follows =
        endpoints.empty() || crash.sent + kTimeError >= last_ended;
    if (counted || !follows)
      continue;
    endpoints.push_back(crash.endpoint);
    last_ended = crash.ended;
  }
  return {std::move(endpoints), last_ended};
}

}  // namespace jacinth::quarantine
