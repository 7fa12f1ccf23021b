#include <algorithm>
#include <tuple>
#include <utility>

#include "core/common/hash.h"
#include "core/forwarding/endpoint_table.h"

namespace jacinth::forwarding {
namespace {

constexpr double kPercent = 100;
constexpr unsigned kSecondDrawShift = 32;
/// Number of endpoints compared by the slices they own when an owner is
/// proposed.
constexpr std::size_t kOwnersCompared = 2;
/// Fraction of a service's slots in use above which an endpoint counts as idle
/// only with a recent load report. A request takes up to four times as long at
/// an endpoint that doesn't hold its object, so wrong estimates would use up
/// the remaining slots.
constexpr double kBusyShare = 0.7;
/// Maximum age of such a load report: a few times the duration of most
/// requests.
constexpr Duration kFreshReport = 2s;

/// Position of an endpoint in an object's order; the greatest comes first.
struct Preference {
  /// Set for endpoints in the region that the object is placed in, and for the
  /// proposal of an owner only if they are also warm. These come first.
  bool in_place = false;
  std::uint64_t weight = 0;

  bool operator<(const Preference& other) const {
    return std::tie(in_place, weight) < std::tie(other.in_place, other.weight);
  }
};

}  // namespace

std::optional<std::string> EndpointTable::Take(const Placement& placement,
                                               Time now) {
  const std::string* chosen = placement.object ? ChooseByObject(placement, now)
                                               : ChooseByLoad(placement, now);
  if (chosen == nullptr)
    return std::nullopt;
  Row& row = rows_.at(*chosen);
  row.load.OnSend();
  ++inflight_;
  if (now < row.cold_until)
    row.last_cold_send = now;
  return *chosen;
}

// Uses rendezvous hashing (Thaler and Ravishankar, 1998): adding or removing an
// endpoint doesn't change the relative order of the others.
const std::string* EndpointTable::ChooseByObject(const Placement& placement,
                                                 Time now) const {
  const auto owner = rows_.find(placement.owner);
  const bool owner_serves =
      owner != rows_.end() &&
      MayServe(owner->first, owner->second, placement, now);
  if (owner_serves && !IsCrowded(owner->second, now))
    return &owner->first;
  const bool owner_usable = owner != rows_.end() && IsUsable(owner->second) &&
                            placement.tried.count(owner->first) == 0 &&
                            ColdAllows(owner->second, now);
  const bool needs_report = owner_usable && busy_share_ > kBusyShare;
  const std::string region =
      Shares().RegionFor(placement.home, *placement.object);
  const std::string* best = nullptr;
  Preference best_preference;
  for (const auto& [name, row] : rows_) {
    // Requests leave the owner of their slice only for idle slots. They take
    // longer elsewhere, so queuing them there would aggravate an overload.
    const bool idle =
        HasIdleSlot(row, now) && (!needs_report || HasFreshReport(row, now));
    const bool fits = placement.owner.empty() || idle;
    if (!fits || !MayServe(name, row, placement, now))
      continue;
    const Preference preference{row.settings.region == region,
                                Hash64(name, *placement.object)};
    if (best != nullptr && !(best_preference < preference))
      continue;
    best = &name;
    best_preference = preference;
  }
  return best == nullptr && owner_serves ? &owner->first : best;
}

std::string EndpointTable::ProposeOwner(const Placement& placement,
                                        const CountOwned& count_owned,
                                        Time now) const {
  const std::string region =
      Shares().RegionFor(placement.home, *placement.object);
  std::vector<std::pair<Preference, const std::string*>> order;
  for (const auto& [name, row] : rows_) {
    const bool allowed = IsUsable(row) && MayServeRegion(row, placement) &&
                         placement.tried.count(name) == 0;
    if (!allowed)
      continue;
    // Cold endpoints are proposed only if there is no warm one in the region.
    const bool warm_here =
        row.settings.region == region && now >= row.cold_until;
    order.emplace_back(Preference{warm_here, Hash64(name, *placement.object)},
                       &name);
  }
  if (order.empty())
    return "";
  const std::size_t compared = std::min(kOwnersCompared, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(compared),
                    order.end(), [](const auto& left, const auto& right) {
                      return right.first < left.first;
                    });
  const std::string* best = order.front().second;
  for (std::size_t i = 1; i < compared; ++i) {
    const auto& [preference, name] = order[i];
    const bool same_place = preference.in_place == order.front().first.in_place;
    if (same_place && count_owned(*name) < count_owned(*best))
      best = name;
  }
  return *best;
}

bool EndpointTable::MayUse(const std::string& name) const {
  const auto found = rows_.find(name);
  return found != rows_.end() && IsUsable(found->second);
}

RegionShare EndpointTable::Shares() const {
  std::map<std::string, double> slots;
  for (const auto& [name, row] : rows_) {
    if (IsUsable(row))
      slots[row.settings.region] += row.settings.slots;
  }
  return RegionShare(std::move(slots));
}

// Uses the power of two choices (Mitzenmacher, 2001).
const std::string* EndpointTable::ChooseByLoad(const Placement& placement,
                                               Time now) const {
  std::vector<const std::string*> near;
  std::vector<const std::string*> far;
  for (const auto& [name, row] : rows_) {
    if (!MayServe(name, row, placement, now))
      continue;
    (row.settings.region == placement.home ? near : far).push_back(&name);
  }
  const auto& choices = near.empty() ? far : near;
  if (choices.empty())
    return nullptr;
  const std::string* first = choices[placement.draw % choices.size()];
  const std::string* second =
      choices[(placement.draw >> kSecondDrawShift) % choices.size()];
  const auto load = [&](const std::string* name) {
    const Row& row = rows_.at(*name);
    return row.load.Total(now) / RoomOf(row);
  };
  return load(second) < load(first) ? second : first;
}

bool EndpointTable::HasRoom(const Row& row, Time now) const {
  if (!IsUsable(row) || now < row.refused_until)
    return false;
  return row.load.is_told() ? row.load.Total(now) < RoomOf(row)
                            : row.load.own() < static_cast<int>(RoomOf(row));
}

bool EndpointTable::HasIdleSlot(const Row& row, Time now) {
  return row.load.Total(now) < row.settings.slots;
}

bool EndpointTable::HasFreshReport(const Row& row, Time now) {
  return row.load.is_told() && row.load.ReportAge(now) <= kFreshReport;
}

bool EndpointTable::IsCrowded(const Row& row, Time now) const {
  return row.load.Total(now) * kPercent >=
         static_cast<double>(row.settings.slots) * wait_percent_;
}

bool EndpointTable::ColdAllows(const Row& row, Time now) const {
  if (now >= row.cold_until)
    return true;
  return now >= row.last_cold_send + WarmupGate::interval() &&
         gate_.MayUse(row.settings.name);
}

double EndpointTable::RoomOf(const Row& row) const {
  const double slots = row.load.is_told() ? row.settings.slots : row.limit;
  return slots * queue_percent_ / kPercent;
}

bool EndpointTable::MayServe(const std::string& name,
                             const Row& row,
                             const Placement& placement,
                             Time now) const {
  if (!HasRoom(row, now) || placement.tried.count(name) != 0)
    return false;
  return MayServeRegion(row, placement) && ColdAllows(row, now);
}

bool EndpointTable::MayServeRegion(const Row& row, const Placement& placement) {
  const auto& regions = placement.regions;
  return regions.empty() || std::find(regions.begin(), regions.end(),
                                      row.settings.region) != regions.end();
}

}  // namespace jacinth::forwarding
