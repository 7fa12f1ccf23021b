#include "core/control/slice_balancer.h"

#include <algorithm>

namespace jacinth::control {
namespace {

/// Requests per slot from which an owner is relieved: from here on some wait.
constexpr double kHotLoad = 1.0;
/// Requests per slot up to which an endpoint is filled by moved slices.
constexpr double kFillLoad = 0.7;

using Hosts = std::map<std::string, SliceHost>;
using Loads = std::map<std::string, double>;

double PerSlot(const Hosts& hosts, const Loads& loads, const std::string& id) {
  const auto load = loads.find(id);
  return load == loads.end() ? 0 : load->second / hosts.at(id).slots;
}

// The largest slice of `owner` that may move and leaves it another one.
const SliceLoad* LargestOf(const std::string& owner,
                           const std::vector<SliceLoad>& slices,
                           double most) {
  const SliceLoad* largest = nullptr;
  int owned = 0;
  for (const SliceLoad& slice : slices) {
    if (slice.owner != owner || slice.requests <= 0)
      continue;
    ++owned;
    if (!slice.may_move || slice.requests > most)
      continue;
    if (largest == nullptr || slice.requests > largest->requests)
      largest = &slice;
  }
  return owned > 1 ? largest : nullptr;
}

// The least loaded endpoint that may take slices over from `owner`.
std::string ColdestFor(const std::string& owner,
                       const Hosts& hosts,
                       const Loads& loads) {
  const SliceHost& from = hosts.at(owner);
  std::string coldest;
  for (const auto& [id, host] : hosts) {
    const bool fits = host.may_gain && host.service == from.service &&
                      host.region == from.region && id != owner;
    if (!fits)
      continue;
    if (coldest.empty() ||
        PerSlot(hosts, loads, id) < PerSlot(hosts, loads, coldest))
      coldest = id;
  }
  return coldest;
}

}  // namespace

std::vector<SliceMove> BalanceSlices(const Hosts& hosts,
                                     const std::vector<SliceLoad>& slices) {
  Loads loads;
  for (const SliceLoad& slice : slices) {
    if (hosts.count(slice.owner) != 0)
      loads[slice.owner] += slice.requests;
  }
  std::vector<std::string> hot;
  for (const auto& [id, load] : loads) {
    if (PerSlot(hosts, loads, id) > kHotLoad)
      hot.push_back(id);
  }
  std::sort(hot.begin(), hot.end(),
            [&](const std::string& left, const std::string& right) {
              return PerSlot(hosts, loads, left) > PerSlot(hosts, loads, right);
            });
  std::vector<SliceMove> moves;
  for (const std::string& owner : hot) {
    const std::string target = ColdestFor(owner, hosts, loads);
    if (target.empty())
      continue;
    const double room = hosts.at(target).slots * kFillLoad - loads[target];
    const SliceLoad* slice = LargestOf(owner, slices, room);
    if (slice == nullptr)
      continue;
    loads[owner] -= slice->requests;
    loads[target] += slice->requests;
    moves.push_back({static_cast<std::size_t>(slice - slices.data()), target});
  }
  return moves;
}

}  // namespace jacinth::control
