#include "core/entry/weighted_round_robin.h"

#include <cstddef>

namespace jacinth::entry {

std::string WeightedRoundRobin::Next(
    const std::vector<settings::RouteShare>& shares) {
  if (!HasSameShares(shares)) {
    candidates_.clear();
    for (const settings::RouteShare& share : shares)
      candidates_.push_back({share.service, share.weight, 0});
  }
  double total = 0;
  Candidate* best = nullptr;
  for (Candidate& candidate : candidates_) {
    if (candidate.weight <= 0)
      continue;
    const auto weight = static_cast<double>(candidate.weight);
    total += weight;
    candidate.credit += weight;
    if (best == nullptr || candidate.credit > best->credit)
      best = &candidate;
  }
  if (best == nullptr)
    return "";
  best->credit -= total;
  return best->service;
}

bool WeightedRoundRobin::HasSameShares(
    const std::vector<settings::RouteShare>& shares) const {
  if (shares.size() != candidates_.size())
    return false;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (candidates_[i].service != shares[i].service ||
        candidates_[i].weight != shares[i].weight)
      return false;
  }
  return true;
}

}  // namespace jacinth::entry
