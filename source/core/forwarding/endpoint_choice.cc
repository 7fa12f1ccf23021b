#include <algorithm>
#include <tuple>
#include <utility>

#include "core/common/hash.h"
#include "core/forwarding/endpoint_table.h"

namespace jacinth::forwarding {
namespace {

constexpr double kPercent = 100;
constexpr unsigned kSecondChoiceShift = 32;
/// Number of endpoints compared by the slices they own when an owner is
/// proposed.
constexpr std::size_t kOwnerCandidates = 2;
/// Fraction of a service's slots in use above which an endpoint counts as idle
/// only with a recent load report. A request takes up to four times as long at
/// an endpoint that doesn't hold its object, so wrong estimates would use up
/// the remaining slots.
constexpr double kBusyServiceShare = 0.7;
/// Maximum age of a recent load report: a few times the duration of most
/// requests.
constexpr Duration kMaxFreshReportAge = 2s;

/// Sort key of an endpoint in an object's order; the greatest comes first.
struct Preference {
  /// True for endpoints in the region that the object is placed in; when an
  /// owner is proposed, only for those that are also warm and have no rate
  /// limit. They come first.
  bool in_first_tier = false;
  std::uint64_t weight = 0;

  bool operator<(const Preference& other) const {
    return std::tie(in_first_tier, weight) <
           std::tie(other.in_first_tier, other.weight);
  }
};

}  // namespace

std::optional<std::string> EndpointTable::ReserveSlot(
    const EndpointCriteria& endpoint_criteria,
    Time now) {
  const std::string* chosen = endpoint_criteria.slice_hash
                                  ? ChooseByObject(endpoint_criteria, now)
                                  : ChooseByLoad(endpoint_criteria, now);
  if (chosen == nullptr)
    return std::nullopt;
  EndpointState& state = endpoints_.at(*chosen);
  state.load.OnRequestSent();
  ++inflight_;
  state.rate_limit.OnSent(now);
  if (now < state.cold_until)
    state.last_cold_request = now;
  // A request that its owner's rate limit keeps out is demand for the owner.
  if (IsRateBlocked(endpoint_criteria.owner, now) &&
      *chosen != endpoint_criteria.owner) {
    CountRefusedDemand(endpoint_criteria.owner, now);
  } else {
    state.rate_limit.CountDemand(1, now);
  }
  return *chosen;
}

// Uses rendezvous hashing (Thaler and Ravishankar, 1998): adding or removing an
// endpoint doesn't change the relative order of the others.
const std::string* EndpointTable::ChooseByObject(
    const EndpointCriteria& endpoint_criteria,
    Time now) const {
  const auto owner = endpoints_.find(endpoint_criteria.owner);
  const bool owner_eligible =
      owner != endpoints_.end() &&
      IsEligible(owner->first, owner->second, endpoint_criteria, now);
  if (owner_eligible && !HasReachedWaitLimit(owner->second, now))
    return &owner->first;
  const bool owner_usable =
      owner != endpoints_.end() && IsUsable(owner->second) &&
      endpoint_criteria.excluded_endpoints.count(owner->first) == 0 &&
      WarmupAllows(owner->second, now);
  const bool needs_fresh_report =
      owner_usable && busy_share_ > kBusyServiceShare;
  const std::string region = MakeRegionSelector().SelectRegion(
      endpoint_criteria.home_region, *endpoint_criteria.slice_hash);
  const std::string* best = nullptr;
  Preference best_preference;
  for (const auto& [name, state] : endpoints_) {
    // A request spills from the owner of its slice only to an endpoint with an
    // idle slot. It takes longer there than at the owner, so queuing it there
    // would aggravate an overload.
    const bool idle = HasIdleSlot(state, now) &&
                      (!needs_fresh_report || HasFreshReport(state, now));
    const bool acceptable = endpoint_criteria.owner.empty() || idle;
    if (!acceptable || !IsEligible(name, state, endpoint_criteria, now))
      continue;
    const Preference preference{state.settings.region == region,
                                Hash64(name, *endpoint_criteria.slice_hash)};
    if (best != nullptr && !(best_preference < preference))
      continue;
    best = &name;
    best_preference = preference;
  }
  return best == nullptr && owner_eligible ? &owner->first : best;
}

std::string EndpointTable::ProposeOwner(
    const EndpointCriteria& endpoint_criteria,
    const OwnedSliceCounter& count_owned,
    Time now) const {
  const std::string region = MakeRegionSelector().SelectRegion(
      endpoint_criteria.home_region, *endpoint_criteria.slice_hash);
  std::vector<std::pair<Preference, const std::string*>> order;
  for (const auto& [name, state] : endpoints_) {
    const bool eligible = IsUsable(state) &&
                          IsRegionAllowed(state, endpoint_criteria) &&
                          endpoint_criteria.excluded_endpoints.count(name) == 0;
    if (!eligible)
      continue;
    // Endpoints that are cold or have a rate limit are proposed only if there
    // is no other one in the region.
    const bool preferred = state.settings.region == region &&
                           now >= state.cold_until &&
                           !state.rate_limit.gate().is_limited();
    order.emplace_back(
        Preference{preferred, Hash64(name, *endpoint_criteria.slice_hash)},
        &name);
  }
  if (order.empty())
    return "";
  const std::size_t candidate_count = std::min(kOwnerCandidates, order.size());
  std::partial_sort(
      order.begin(),
      order.begin() + static_cast<std::ptrdiff_t>(candidate_count), order.end(),
      [](const auto& left, const auto& right) {
        return right.first < left.first;
      });
  const std::string* best = order.front().second;
  for (std::size_t i = 1; i < candidate_count; ++i) {
    const auto& [preference, name] = order[i];
    const bool same_tier =
        preference.in_first_tier == order.front().first.in_first_tier;
    if (same_tier && count_owned(*name) < count_owned(*best))
      best = name;
  }
  return *best;
}

bool EndpointTable::CanReceiveRequests(const std::string& name) const {
  const auto found = endpoints_.find(name);
  return found != endpoints_.end() && IsUsable(found->second);
}

RegionSelector EndpointTable::MakeRegionSelector() const {
  std::map<std::string, double> slots;
  for (const auto& [name, state] : endpoints_) {
    if (IsUsable(state))
      slots[state.settings.region] += state.settings.slots;
  }
  return RegionSelector(std::move(slots));
}

// Uses the power of two choices (Mitzenmacher, 2001).
const std::string* EndpointTable::ChooseByLoad(
    const EndpointCriteria& endpoint_criteria,
    Time now) const {
  std::vector<const std::string*> local;
  std::vector<const std::string*> remote;
  for (const auto& [name, state] : endpoints_) {
    if (!IsEligible(name, state, endpoint_criteria, now))
      continue;
    (state.settings.region == endpoint_criteria.home_region ? local : remote)
        .push_back(&name);
  }
  const auto& candidate_names = local.empty() ? remote : local;
  if (candidate_names.empty())
    return nullptr;
  const std::string* first =
      candidate_names[endpoint_criteria.random_value % candidate_names.size()];
  const std::string* second =
      candidate_names[(endpoint_criteria.random_value >> kSecondChoiceShift) %
                      candidate_names.size()];
  const auto load = [&](const std::string* name) {
    const EndpointState& state = endpoints_.at(*name);
    return state.load.TotalRequests(now) / CapacityOf(state);
  };
  return load(second) < load(first) ? second : first;
}

bool EndpointTable::HasCapacity(const EndpointState& state, Time now) const {
  if (!IsUsable(state) || now < state.refused_until ||
      !state.rate_limit.gate().Allows(now))
    return false;
  const auto max_requests = state.wait.MaxRequests(state.settings.slots, now);
  if (max_requests && state.load.own_requests() >= *max_requests)
    return false;
  return state.load.has_report()
             ? state.load.TotalRequests(now) < CapacityOf(state)
             : state.load.own_requests() < static_cast<int>(CapacityOf(state));
}

bool EndpointTable::HasIdleSlot(const EndpointState& state, Time now) {
  return state.load.TotalRequests(now) < state.settings.slots;
}

bool EndpointTable::HasFreshReport(const EndpointState& state, Time now) {
  return state.load.has_report() &&
         state.load.ReportAge(now) <= kMaxFreshReportAge;
}

bool EndpointTable::HasReachedWaitLimit(const EndpointState& state,
                                        Time now) const {
  return state.load.TotalRequests(now) * kPercent >=
         static_cast<double>(state.settings.slots) * wait_percent_;
}

bool EndpointTable::WarmupAllows(const EndpointState& state, Time now) const {
  if (now >= state.cold_until)
    return true;
  return now >= state.last_cold_request + WarmupGate::interval() &&
         warmup_gate_.CanSendTo(state.settings.name, now);
}

double EndpointTable::CapacityOf(const EndpointState& state) const {
  const double slots =
      state.load.has_report() ? state.settings.slots : state.limit;
  return slots * queue_percent_ / kPercent;
}

bool EndpointTable::IsEligible(const std::string& name,
                               const EndpointState& state,
                               const EndpointCriteria& endpoint_criteria,
                               Time now) const {
  if (!HasCapacity(state, now) ||
      endpoint_criteria.excluded_endpoints.count(name) != 0)
    return false;
  return IsRegionAllowed(state, endpoint_criteria) && WarmupAllows(state, now);
}

bool EndpointTable::IsRegionAllowed(const EndpointState& state,
                                    const EndpointCriteria& endpoint_criteria) {
  const auto& regions = endpoint_criteria.regions;
  return regions.empty() || std::find(regions.begin(), regions.end(),
                                      state.settings.region) != regions.end();
}

}  // namespace jacinth::forwarding
