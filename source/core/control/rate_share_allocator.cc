#include "core/control/rate_share_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace jacinth::control {
namespace {

using protocol::EndpointKey;
using protocol::RateLimitReport;
using protocol::RateShareUpdate;

/// Versions hold the leader's term in the upper 32 bits and a count below.
constexpr unsigned kTermShift = 32;
/// Interval between divisions: reports of demand arrive once per second, and
/// each division has to reach all entries.
constexpr Duration kAllocationInterval = 500ms;
/// Age of the last answer that named a limit after which answers without it,
/// to entries that were never told, end the limit.
constexpr Duration kLimitMemory = 10s;
/// Entries beyond one per request and second that share a limit. Each may send
/// one request ahead of its share, so their number bounds the excess.
constexpr std::size_t kExtraSharers = 2;
/// Part of a limit that its sharers get in equal parts, for demand that has
/// grown since the last report.
constexpr double kEqualPart = 0.2;
/// Part of a limit that goes to the entry that was told of it last, whatever
/// its demand: if the endpoint tells few entries, only these learn of a change.
constexpr double kToldPart = 0.1;
/// Rate at which one entry goes on asking an endpoint whose limit is near 0, as
/// only an answer can end the limit.
constexpr double kMinShare = 0.1;
/// Change of a share, relative to the limit, below which it isn't sent.
constexpr double kMinShareChange = 0.1;
/// Ends of limits that are kept for entries that haven't been told of them.
constexpr std::size_t kMaxEnds = 1'024;

bool DiffersMuch(const std::map<std::string, double>& before,
                 const std::map<std::string, double>& after,
                 double limit) {
  if (before.size() != after.size())
    return true;
  return std::any_of(after.begin(), after.end(), [&](const auto& share) {
    const auto old = before.find(share.first);
    return old == before.end() ||
           std::abs(old->second - share.second) > limit * kMinShareChange;
  });
}

// Returns the entries whose share has begun, changed or ended.
std::vector<std::string> ChangedEntries(
    const std::map<std::string, double>& before,
    const std::map<std::string, double>& after) {
  std::vector<std::string> entries;
  for (const auto& [entry, share] : before) {
    if (after.count(entry) == 0)
      entries.push_back(entry);
  }
  for (const auto& [entry, share] : after) {
    const auto old = before.find(entry);
    if (old == before.end() || old->second != share)
      entries.push_back(entry);
  }
  return entries;
}

}  // namespace

void RateShareAllocator::Reset(std::uint64_t term) {
  records_.clear();
  changed_.clear();
  pending_.clear();
  ended_.clear();
  kept_since_.clear();
  shares_changed_.clear();
  version_ = (term << kTermShift) + 1;
  limits_changed_ = version_;
  forgotten_end_ = version_;
}

void RateShareAllocator::OnReport(const std::string& entry,
                                  const RateLimitReport& report,
                                  Time now) {
  auto found = records_.find(report.key);
  if (found == records_.end()) {
    if (!report.limit_per_s && !report.shared_limit_per_s)
      return;
    found = records_.try_emplace(report.key).first;
    found->second.started_ms = report.started_ms;
    // The entries that were told may be gone, so a new leader relies on what
    // its predecessor knew until it hears otherwise.
    if (report.shared_limit_per_s) {
      found->second.told_limit_per_s = report.shared_limit_per_s;
      found->second.told_at = now - kLimitMemory / 2;
      UpdateLimit(report.key, found->second);
    }
  }
  LimitRecord& record = found->second;
  if (report.started_ms < record.started_ms)
    return;
  if (report.started_ms > record.started_ms) {
    // The limit of the endpoint's earlier start leaves the shares.
    RecordEnd(report.key, record);
    record = LimitRecord{};
    record.started_ms = report.started_ms;
  }
  record.demand_by_entry[entry] = report.demand_per_s;
  if (report.answer_age_ms < 0)
    return;
  const Time heard_at = now - std::chrono::milliseconds(report.answer_age_ms);
  if (!report.limit_per_s && !report.was_told) {
    record.untold_at = std::max(record.untold_at, heard_at);
  } else if (heard_at > record.told_at) {
    record.told_at = heard_at;
    record.told_limit_per_s = report.limit_per_s;
    record.told_entry = entry;
  }
  UpdateLimit(report.key, record);
}

void RateShareAllocator::UpdateLimit(const EndpointKey& key,
                                     LimitRecord& record) {
  const bool outlived = record.untold_at > record.told_at + kLimitMemory;
  const auto limit = outlived ? std::nullopt : record.told_limit_per_s;
  if (record.limit_per_s == limit)
    return;
  record.limit_per_s = limit;
  changed_.insert(key);
  pending_.insert(key);
}

// Notes that a record is about to be forgotten, if entries may hold its limit.
void RateShareAllocator::RecordEnd(const EndpointKey& key,
                                   const LimitRecord& record) {
  if (record.limit_changed != 0 || record.limit_per_s)
    pending_.insert(key);
}

void RateShareAllocator::RetainEndpoints(
    const std::map<EndpointKey, std::int64_t>& started_ms) {
  for (auto& [key, record] : records_)
    record.is_listed |= started_ms.count(key) != 0;
  std::erase_if(records_, [&](const auto& item) {
    const auto listed = started_ms.find(item.first);
    const bool is_gone = listed == started_ms.end()
                             ? item.second.is_listed
                             : listed->second > item.second.started_ms;
    if (is_gone)
      RecordEnd(item.first, item.second);
    return is_gone;
  });
}

void RateShareAllocator::RetainEntries(const std::set<std::string>& entries) {
  for (auto& [key, record] : records_) {
    std::erase_if(record.demand_by_entry, [&](const auto& item) {
      return entries.count(item.first) == 0;
    });
    std::erase_if(record.share_changed, [&](const auto& item) {
      return entries.count(item.first) == 0;
    });
  }
  std::erase_if(kept_since_, [&](const auto& item) {
    return entries.count(item.first) == 0;
  });
  for (const std::string& entry : entries)
    kept_since_.try_emplace(entry, version_);
}

void RateShareAllocator::Allocate(Time now) {
  const std::uint64_t next = version_ + 1;
  DivideChanged(next);
  if (now < next_allocation_)
    return;
  next_allocation_ = now + kAllocationInterval;
  std::erase_if(records_, [&](const auto& item) {
    const LimitRecord& record = item.second;
    const bool is_forgotten =
        !record.limit_per_s &&
        now > std::max(record.told_at, record.untold_at) + kLimitMemory;
    if (is_forgotten && record.limit_changed != 0)
      ended_[item.first] = record.limit_changed;
    return is_forgotten;
  });
  for (auto& [key, record] : records_) {
    if (Redivide(record, next))
      version_ = next;
  }
  while (ended_.size() > kMaxEnds) {
    const auto oldest = std::min_element(
        ended_.begin(), ended_.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    forgotten_end_ = std::max(forgotten_end_, oldest->second);
    ended_.erase(oldest);
  }
}

// Divides the limits that have begun, changed or ended, of which all entries
// are told.
void RateShareAllocator::DivideChanged(std::uint64_t next) {
  if (pending_.empty())
    return;
  version_ = next;
  limits_changed_ = next;
  shares_changed_.clear();
  for (const EndpointKey& key : std::exchange(pending_, {})) {
    const auto found = records_.find(key);
    if (found == records_.end()) {
      ended_[key] = next;
      continue;
    }
    ended_.erase(key);
    found->second.limit_changed = next;
    Redivide(found->second, next);
  }
}

// Divides one limit. Returns false if the shares are about the same.
bool RateShareAllocator::Redivide(LimitRecord& record, std::uint64_t next) {
  auto shares = Divide(record);
  if (!DiffersMuch(record.share_by_entry, shares,
                   record.limit_per_s.value_or(0)))
    return false;
  for (const std::string& entry :
       ChangedEntries(record.share_by_entry, shares)) {
    shares_changed_[entry] = next;
    record.share_changed[entry] = next;
  }
  record.share_by_entry = std::move(shares);
  return true;
}

// Returns the shares of the entries with the most demand.
std::map<std::string, double> RateShareAllocator::Divide(
    const LimitRecord& record) {
  std::map<std::string, double> shares;
  if (!record.limit_per_s || record.demand_by_entry.empty())
    return shares;
  const double limit = *record.limit_per_s;
  // Entries that already have a share keep it if their demand is similar to
  // that of another entry.
  constexpr double kIncumbentBonus = 1.25;
  std::vector<std::pair<double, std::string_view>> order;
  for (const auto& [entry, demand] : record.demand_by_entry) {
    const bool incumbent = record.share_by_entry.count(entry) != 0;
    order.emplace_back(demand * (incumbent ? kIncumbentBonus : 1), entry);
  }
  const std::size_t max_sharers =
      static_cast<std::size_t>(std::min(limit, 1e6)) + kExtraSharers;
  const std::size_t sharers = std::min(order.size(), max_sharers);
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(sharers),
      order.end(), [&](const auto& left, const auto& right) {
        return std::tuple(left.second == record.told_entry, left) >
               std::tuple(right.second == record.told_entry, right);
      });
  order.resize(sharers);
  while (order.size() > 1 && order.back().first <= 0)
    order.pop_back();
  double total = 0;
  for (const auto& [demand, entry] : order)
    total += demand;
  const auto count = static_cast<double>(order.size());
  for (const auto& [demand, entry] : order) {
    const double by_demand = total > 0 ? demand / total : 1 / count;
    shares[std::string(entry)] =
        limit * (kEqualPart / count + (1 - kEqualPart - kToldPart) * by_demand);
  }
  double& first = shares[std::string(order.front().second)];
  first = std::max(first + limit * kToldPart, kMinShare);
  return shares;
}

RateShareUpdate RateShareAllocator::UpdateFor(
    const std::string& entry,
    std::uint64_t held_version) const {
  RateShareUpdate update;
  update.unchanged =
      held_version >= LastChangeFor(entry) && held_version <= version_;
  update.version = update.unchanged ? held_version : version_;
  if (update.unchanged)
    return update;
  for (const auto& [key, record] : records_) {
    if (!record.limit_per_s)
      continue;
    const auto share = record.share_by_entry.find(entry);
    update.shares.push_back(
        {key, record.started_ms, *record.limit_per_s,
         share == record.share_by_entry.end() ? 0 : share->second});
  }
  return update;
}

RateShareUpdate RateShareAllocator::ChangesFor(
    const std::string& entry,
    std::uint64_t held_version) const {
  RateShareUpdate update;
  update.unchanged =
      held_version >= LastChangeFor(entry) && held_version <= version_;
  if (update.unchanged || !KeepsChangesSince(entry, held_version))
    return UpdateFor(entry, held_version);
  update.version = version_;
  update.base = held_version;
  for (const auto& [key, record] : records_) {
    const auto changed = record.share_changed.find(entry);
    const bool is_newer = record.limit_changed > held_version ||
                          (changed != record.share_changed.end() &&
                           changed->second > held_version);
    if (!is_newer)
      continue;
    if (!record.limit_per_s) {
      update.removed.push_back(key);
      continue;
    }
    const auto share = record.share_by_entry.find(entry);
    update.shares.push_back(
        {key, record.started_ms, *record.limit_per_s,
         share == record.share_by_entry.end() ? 0 : share->second});
  }
  for (const auto& [key, version] : ended_) {
    if (version > held_version)
      update.removed.push_back(key);
  }
  return update;
}

bool RateShareAllocator::KeepsChangesSince(const std::string& entry,
                                           std::uint64_t held_version) const {
  const auto kept = kept_since_.find(entry);
  return kept != kept_since_.end() && held_version >= kept->second &&
         held_version >= forgotten_end_ && held_version <= version_;
}

// Returns the version in which what this entry is sent has last changed.
std::uint64_t RateShareAllocator::LastChangeFor(
    const std::string& entry) const {
  const auto found = shares_changed_.find(entry);
  return found == shares_changed_.end() ? limits_changed_ : found->second;
}

bool RateShareAllocator::IsLimited(const protocol::EndpointKey& key) const {
  const auto found = records_.find(key);
  return found != records_.end() && found->second.limit_per_s.has_value();
}

std::vector<RateLimitChange> RateShareAllocator::TakeChanges() {
  std::vector<RateLimitChange> changes;
  for (const EndpointKey& key : std::exchange(changed_, {})) {
    RateLimitChange change{key, std::nullopt, 0};
    const auto found = records_.find(key);
    if (found != records_.end()) {
      change.limit_per_s = found->second.limit_per_s;
      change.sharers = found->second.share_by_entry.size();
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace jacinth::control
