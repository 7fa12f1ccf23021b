#include "core/control/slice_assignment.h"

#include <algorithm>

namespace jacinth::control {
namespace {

using protocol::SliceClaimReason;
using protocol::SliceOwner;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Number of entries that must claim another owner before the current one is
/// displaced. A single entry may just have lost its connection to the owner.
constexpr std::size_t kClaimsToDisplace = 2;
/// Time after which such a claim is no longer counted.
constexpr Duration kDisplacementClaimLifetime = 3s;
/// Minimum time between two moves of a slice because of load. The objects of a
/// moved slice are cold at the new owner, and an overloaded service has no
/// capacity to warm them up.
constexpr Duration kLoadMoveInterval = 10s;
/// Weight of the newest interval in the moving average of a slice's requests.
constexpr double kNewestIntervalWeight = 0.5;
/// Maximum number of slices in the table; further slices are placed by hash
/// alone.
constexpr std::size_t kMaxSlices = 100'000;

}  // namespace

void SliceAssignment::Reset(std::uint64_t term,
                            const std::vector<SliceOwner>& recorded) {
  slices_.clear();
  unrecorded_.clear();
  by_change_.clear();
  digest_ = protocol::MakeSliceDigest();
  version_ = (term << kTermShift) + 1;
  for (const SliceOwner& owner : recorded) {
    const Key key{owner.service, owner.slice};
    SetOwner(key, slices_[key], owner.endpoint);
  }
  unrecorded_.clear();
}

void SliceAssignment::Claim(const std::string& entry,
                            const protocol::SliceClaim& claim,
                            Time now) {
  if (claim.owner.endpoint.empty())
    return;
  const Key key{claim.owner.service, claim.owner.slice};
  if (slices_.size() >= kMaxSlices && slices_.count(key) == 0)
    return;
  SliceState& state = slices_[key];
  if (state.endpoint.empty()) {
    SetOwner(key, state, claim.owner.endpoint);
    return;
  }
  if (claim.reason == SliceClaimReason::kNoOwner &&
      state.endpoint != claim.owner.endpoint) {
    // The entry doesn't know the owner.
    Announce(key, state);
    return;
  }
  const bool displaces = claim.reason != SliceClaimReason::kNoOwner &&
                         state.endpoint != claim.owner.endpoint;
  const bool owner_overloaded =
      claim.reason == SliceClaimReason::kOwnerOverloaded;
  if (!displaces ||
      (owner_overloaded && now < state.last_load_move + kLoadMoveInterval))
    return;
  state.displacement_claims[entry] = now;
  std::erase_if(state.displacement_claims, [&](const auto& item) {
    return now > item.second + kDisplacementClaimLifetime;
  });
  if (state.displacement_claims.size() < kClaimsToDisplace)
    return;
  SetOwner(key, state, claim.owner.endpoint);
  if (owner_overloaded)
    state.last_load_move = now;
}

void SliceAssignment::RetainOwners(
    const std::map<std::string, SliceEndpoint>& usable) {
  for (auto& [key, state] : slices_) {
    if (!state.endpoint.empty() && usable.count(state.endpoint) == 0)
      SetOwner(key, state, "");
  }
}

void SliceAssignment::AddUse(const protocol::SliceUse& use) {
  const auto found = slices_.find({use.service, use.slice});
  if (found != slices_.end())
    found->second.busy_time += std::chrono::milliseconds(use.busy_ms);
}

std::size_t SliceAssignment::Rebalance(
    const std::map<std::string, SliceEndpoint>& endpoints,
    Duration elapsed,
    Time now) {
  std::vector<const Key*> keys;
  std::vector<SliceLoad> loads;
  for (auto& [key, state] : slices_) {
    const double requests = static_cast<double>(state.busy_time.count()) /
                            static_cast<double>(elapsed.count());
    state.requests += (requests - state.requests) * kNewestIntervalWeight;
    state.busy_time = Duration{0};
    if (state.endpoint.empty())
      continue;
    keys.push_back(&key);
    loads.push_back({state.endpoint, state.requests,
                     now >= state.last_load_move + kLoadMoveInterval});
  }
  const std::vector<SliceMove> moves = BalanceSlices(endpoints, loads);
  for (const SliceMove& move : moves) {
    const Key& key = *keys[move.slice];
    SliceState& state = slices_.at(key);
    SetOwner(key, state, move.to);
    state.last_load_move = now;
  }
  return moves.size();
}

std::vector<SliceOwner> SliceAssignment::TakeUnrecordedOwners() {
  std::vector<SliceOwner> owners;
  for (const Key& key : unrecorded_)
    owners.push_back({key.first, key.second, slices_.at(key).endpoint});
  unrecorded_.clear();
  return owners;
}

protocol::SliceUpdate SliceAssignment::UpdateFor(std::uint64_t version) const {
  protocol::SliceUpdate update;
  if (version_ == 0 || version == version_)
    return update;
  update.version = version_;
  const bool incremental = IsFromTerm(version);
  update.base = incremental ? version : 0;
  const auto first =
      incremental ? by_change_.upper_bound(version) : by_change_.begin();
  for (auto change = first; change != by_change_.end(); ++change) {
    const Key& key = change->second;
    update.changed.push_back({key.first, key.second, slices_.at(key).endpoint});
  }
  return update;
}

protocol::SliceUpdate SliceAssignment::UpdateForDigest(
    const std::string& digest) const {
  protocol::SliceUpdate update;
  if (version_ == 0)
    return update;
  update.version = version_;
  update.parts = digest_.DifferingParts(digest);
  if (update.parts->empty())
    return update;
  for (const auto& [key, state] : slices_) {
    const auto part = static_cast<int>(protocol::SlicePart(key.second));
    if (std::binary_search(update.parts->begin(), update.parts->end(), part))
      update.changed.push_back({key.first, key.second, state.endpoint});
  }
  return update;
}

bool SliceAssignment::IsFromTerm(std::uint64_t version) const {
  return version >> kTermShift == version_ >> kTermShift;
}

void SliceAssignment::SetOwner(const Key& key,
                               SliceState& state,
                               const std::string& endpoint) {
  const std::size_t part = protocol::SlicePart(key.second);
  if (!state.endpoint.empty()) {
    digest_.Remove(
        part, protocol::SliceItemHash(key.first, key.second, state.endpoint));
  }
  if (!endpoint.empty()) {
    digest_.Add(part, protocol::SliceItemHash(key.first, key.second, endpoint));
  }
  unrecorded_.insert(key);
  state.endpoint = endpoint;
  Announce(key, state);
  state.displacement_claims.clear();
}

void SliceAssignment::Announce(const Key& key, SliceState& state) {
  by_change_.erase(state.changed);
  state.changed = ++version_;
  by_change_[state.changed] = key;
}

}  // namespace jacinth::control
