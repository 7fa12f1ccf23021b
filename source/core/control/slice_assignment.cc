#include "core/control/slice_assignment.h"

namespace jacinth::control {
namespace {

using protocol::SliceClaimReason;
using protocol::SliceOwner;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Entries that must claim another owner before the present one is displaced: a
/// single entry may just be disconnected from it.
constexpr std::size_t kObjectionsNeeded = 2;
/// Time for which such a claim counts.
constexpr Duration kObjectionLife = 3s;
/// Shortest time between two moves of a slice because of load: the objects of a
/// moved slice are cold at the new owner, and an overloaded service has no
/// capacity for that.
constexpr Duration kLoadMoveInterval = 10s;
/// Weight of the newest interval in the moving average of a slice's requests.
constexpr double kNewUseShare = 0.5;
/// Limit of the table's size; slices beyond it are placed by hash alone.
constexpr std::size_t kMaxRows = 100'000;

}  // namespace

void SliceAssignment::Reset(std::uint64_t term,
                            const std::vector<SliceOwner>& recorded) {
  rows_.clear();
  unrecorded_.clear();
  version_ = (term << kTermShift) + 1;
  for (const SliceOwner& owner : recorded) {
    Row& row = rows_[{owner.service, owner.slice}];
    row.endpoint = owner.endpoint;
    row.changed = version_;
  }
}

void SliceAssignment::Claim(const std::string& entry,
                            const protocol::SliceClaim& claim,
                            Time now) {
  if (claim.owner.endpoint.empty())
    return;
  const Key key{claim.owner.service, claim.owner.slice};
  if (rows_.size() >= kMaxRows && rows_.count(key) == 0)
    return;
  Row& row = rows_[key];
  if (row.endpoint.empty()) {
    SetOwner(key, row, claim.owner.endpoint);
    return;
  }
  const bool displaces = claim.reason != SliceClaimReason::kNoOwner &&
                         row.endpoint != claim.owner.endpoint;
  const bool crowded = claim.reason == SliceClaimReason::kOwnerCrowded;
  if (!displaces || (crowded && now < row.load_moved_at + kLoadMoveInterval))
    return;
  row.objections[entry] = now;
  std::erase_if(row.objections, [&](const auto& objection) {
    return now > objection.second + kObjectionLife;
  });
  if (row.objections.size() < kObjectionsNeeded)
    return;
  SetOwner(key, row, claim.owner.endpoint);
  if (crowded)
    row.load_moved_at = now;
}

void SliceAssignment::KeepOnly(const std::map<std::string, SliceHost>& usable) {
  for (auto& [key, row] : rows_) {
    if (!row.endpoint.empty() && usable.count(row.endpoint) == 0)
      SetOwner(key, row, "");
  }
}

void SliceAssignment::NoteUse(const protocol::SliceUse& use) {
  const auto found = rows_.find({use.service, use.slice});
  if (found != rows_.end())
    found->second.busy += std::chrono::milliseconds(use.busy_ms);
}

std::size_t SliceAssignment::Rebalance(
    const std::map<std::string, SliceHost>& hosts,
    Duration elapsed,
    Time now) {
  std::vector<const Key*> keys;
  std::vector<SliceLoad> loads;
  for (auto& [key, row] : rows_) {
    const double requests = static_cast<double>(row.busy.count()) /
                            static_cast<double>(elapsed.count());
    row.requests += (requests - row.requests) * kNewUseShare;
    row.busy = Duration{0};
    if (row.endpoint.empty())
      continue;
    keys.push_back(&key);
    loads.push_back({row.endpoint, row.requests,
                     now >= row.load_moved_at + kLoadMoveInterval});
  }
  const std::vector<SliceMove> moves = BalanceSlices(hosts, loads);
  for (const SliceMove& move : moves) {
    const Key& key = *keys[move.slice];
    Row& row = rows_.at(key);
    SetOwner(key, row, move.to);
    row.load_moved_at = now;
  }
  return moves.size();
}

std::vector<SliceOwner> SliceAssignment::TakeUnrecorded() {
  std::vector<SliceOwner> owners;
  for (const Key& key : unrecorded_)
    owners.push_back({key.first, key.second, rows_.at(key).endpoint});
  unrecorded_.clear();
  return owners;
}

protocol::SliceUpdate SliceAssignment::UpdateFor(std::uint64_t version) const {
  protocol::SliceUpdate update;
  if (version_ == 0 || version == version_)
    return update;
  update.version = version_;
  const bool other_term = version >> kTermShift != version_ >> kTermShift;
  for (const auto& [key, row] : rows_) {
    if (other_term || row.changed > version)
      update.changed.push_back({key.first, key.second, row.endpoint});
  }
  return update;
}

void SliceAssignment::SetOwner(const Key& key,
                               Row& row,
                               const std::string& endpoint) {
  unrecorded_.insert(key);
  row.endpoint = endpoint;
  row.changed = ++version_;
  row.objections.clear();
}

}  // namespace jacinth::control
