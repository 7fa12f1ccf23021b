#include "core/control/slice_balancer.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace jacinth::control {
namespace {

/// Requests per slot above which slices are moved away from an owner: beyond
/// one per slot, requests wait.
constexpr double kOverloadPerSlot = 1.0;
/// Requests per slot up to which slices are moved to an endpoint.
constexpr double kTargetLoadPerSlot = 0.7;

using SliceEndpointMap = std::map<std::string, SliceEndpoint>;

/// An endpoint and its load, updated with each move that is chosen.
struct SliceEndpointLoad {
  const std::string* id = nullptr;
  const SliceEndpoint* endpoint = nullptr;
  double load = 0;
  /// Indices of its slices in the list of slices.
  std::vector<std::size_t> slices;

  double LoadPerSlot() const { return load / endpoint->slots; }
};

/// The endpoints of one service and region, which may exchange slices.
using Group = std::vector<SliceEndpointLoad>;

std::vector<Group> MakeGroups(const SliceEndpointMap& endpoints,
                              const std::vector<SliceLoad>& slices) {
  std::map<std::pair<std::string_view, std::string_view>, Group> groups;
  std::map<std::string_view, std::vector<std::size_t>> owned;
  for (std::size_t i = 0; i < slices.size(); ++i)
    owned[slices[i].owner].push_back(i);
  for (const auto& [id, endpoint] : endpoints) {
    SliceEndpointLoad endpoint_load{&id, &endpoint, 0, {}};
    if (const auto found = owned.find(id); found != owned.end())
      endpoint_load.slices = std::move(found->second);
    for (const std::size_t slice : endpoint_load.slices)
      endpoint_load.load += slices[slice].requests;
    groups[{endpoint.service, endpoint.region}].push_back(
        std::move(endpoint_load));
  }
  std::vector<Group> all;
  all.reserve(groups.size());
  for (auto& [key, group] : groups)
    all.push_back(std::move(group));
  return all;
}

// Returns the largest slice of `owner` that may move and whose load is at most
// `free_capacity`; nothing if there is none, or if the owner has only one slice
// in use.
std::optional<std::size_t> LargestMovableSlice(
    const SliceEndpointLoad& owner,
    const std::vector<SliceLoad>& slices,
    double free_capacity) {
  std::optional<std::size_t> largest;
  int active_slices = 0;
  for (const std::size_t i : owner.slices) {
    const SliceLoad& slice = slices[i];
    if (slice.requests <= 0)
      continue;
    ++active_slices;
    if (!slice.is_movable || slice.requests > free_capacity)
      continue;
    if (!largest || slice.requests > slices[*largest].requests)
      largest = i;
  }
  return active_slices > 1 ? largest : std::nullopt;
}

// Returns the least loaded endpoint that may gain slices; nullptr if none may.
SliceEndpointLoad* LeastLoadedOf(Group& group) {
  SliceEndpointLoad* least_loaded = nullptr;
  for (SliceEndpointLoad& candidate : group) {
    if (!candidate.endpoint->accepts_slices)
      continue;
    if (least_loaded == nullptr ||
        candidate.LoadPerSlot() < least_loaded->LoadPerSlot())
      least_loaded = &candidate;
  }
  return least_loaded;
}

void BalanceGroup(Group& group,
                  const std::vector<SliceLoad>& slices,
                  std::vector<SliceMove>& moves) {
  std::vector<SliceEndpointLoad*> overloaded;
  for (SliceEndpointLoad& candidate : group) {
    if (candidate.LoadPerSlot() > kOverloadPerSlot)
      overloaded.push_back(&candidate);
  }
  std::sort(overloaded.begin(), overloaded.end(),
            [](const SliceEndpointLoad* left, const SliceEndpointLoad* right) {
              return left->LoadPerSlot() > right->LoadPerSlot();
            });
  for (SliceEndpointLoad* owner : overloaded) {
    SliceEndpointLoad* target = LeastLoadedOf(group);
    if (target == nullptr || target == owner)
      return;
    const double free_capacity =
        target->endpoint->slots * kTargetLoadPerSlot - target->load;
    const auto slice = LargestMovableSlice(*owner, slices, free_capacity);
    if (!slice)
      continue;
    owner->load -= slices[*slice].requests;
    target->load += slices[*slice].requests;
    moves.push_back({*slice, *target->id});
  }
}

}  // namespace

std::vector<SliceMove> BalanceSlices(const SliceEndpointMap& endpoints,
                                     const std::vector<SliceLoad>& slices) {
  std::vector<SliceMove> moves;
  for (Group& group : MakeGroups(endpoints, slices))
    BalanceGroup(group, slices, moves);
  return moves;
}

}  // namespace jacinth::control
