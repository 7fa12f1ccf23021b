#include "core/entry/share_counter.h"

#include <cstddef>

namespace jacinth::entry {

std::string ShareCounter::Next(
    const std::vector<settings::RouteShare>& shares) {
  if (!Matches(shares)) {
    rows_.clear();
    for (const settings::RouteShare& share : shares)
      rows_.push_back({share.service, share.weight, 0});
  }
  long total = 0;
  Row* best = nullptr;
  for (Row& row : rows_) {
    if (row.weight <= 0)
      continue;
    total += row.weight;
    row.credit += row.weight;
    if (best == nullptr || row.credit > best->credit)
      best = &row;
  }
  if (best == nullptr)
    return "";
  best->credit -= total;
  return best->service;
}

bool ShareCounter::Matches(
    const std::vector<settings::RouteShare>& shares) const {
  if (shares.size() != rows_.size())
    return false;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (rows_[i].service != shares[i].service ||
        rows_[i].weight != shares[i].weight)
      return false;
  }
  return true;
}

}  // namespace jacinth::entry
