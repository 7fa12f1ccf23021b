#include "core/forwarding/endpoint_table.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

/// First time that a failing endpoint is left alone; doubles each time.
constexpr Duration kFirstEjection = 1s;
constexpr int kMaxEjectionDoublings = 5;
/// Most endpoints of a service that may be put aside, in percent.
constexpr std::size_t kMaxAsidePercent = 50;
/// Factor of the limit after a refusal.
constexpr double kLimitDecrease = 0.7;
/// Time that an endpoint is left alone after a refusal.
constexpr Duration kRefusalPause = 10ms;
constexpr unsigned kSecondDrawShift = 32;

}  // namespace

void EndpointTable::Update(const settings::ServiceSettings& service) {
  probe_failures_ = service.probe_failures;
  probe_interval_ = service.probe_interval;
  std::set<std::string> kept;
  for (const settings::EndpointSettings& endpoint : service.endpoints) {
    kept.insert(endpoint.name);
    Row& row = rows_[endpoint.name];
    if (row.settings.address != endpoint.address) {
      const int inflight = row.inflight;
      row = Row{};
      row.inflight = inflight;
    }
    const bool new_slots =
        row.settings.slots != endpoint.slots || row.limit < 1;
    row.settings = endpoint;
    if (new_slots)
      row.limit = endpoint.slots;
  }
  for (auto& [name, row] : rows_) {
    if (kept.count(name) == 0)
      row.settings.drained = true;
  }
  // Rows with requests in flight stay until those end.
  std::erase_if(rows_, [&](const auto& item) {
    return kept.count(item.first) == 0 && item.second.inflight == 0;
  });
}

std::optional<std::string> EndpointTable::Take(
    const std::string& home,
    const std::set<std::string>& tried,
    std::uint64_t random,
    Time now) {
  std::vector<const std::string*> near;
  std::vector<const std::string*> far;
  for (const auto& [name, row] : rows_) {
    if (!HasRoom(row, now))
      continue;
    if (tried.count(name) != 0)
      continue;
    (row.settings.region == home ? near : far).push_back(&name);
  }
  const auto& choices = near.empty() ? far : near;
  if (choices.empty())
    return std::nullopt;
  const std::string& first = *choices[random % choices.size()];
  const std::string& second =
      *choices[(random >> kSecondDrawShift) % choices.size()];
  const auto load = [&](const std::string& name) {
    const Row& row = rows_.at(name);
    return row.inflight / row.limit;
  };
  const std::string& chosen = load(second) < load(first) ? second : first;
  ++rows_.at(chosen).inflight;
  ++inflight_;
  return chosen;
}

void EndpointTable::OnAttemptEnd(const std::string& name,
                                 AttemptEnd end,
                                 Time now) {
  const auto found = rows_.find(name);
  if (found == rows_.end())
    return;
  Row& row = found->second;
  --row.inflight;
  --inflight_;
  if (IsEndpointFailure(end)) {
    OnFailure(row, now);
    return;
  }
  row.failures = 0;
  if (end == AttemptEnd::kRefused) {
    OnRefusal(row, now);
    return;
  }
  OnAnswer(row);
}

std::vector<std::string> EndpointTable::DueProbes(Time now) {
  std::vector<std::string> due;
  for (auto& [name, row] : rows_) {
    if (row.probing || now < row.probe_due)
      continue;
    row.probing = true;
    row.probe_due = now + probe_interval_;
    due.push_back(name);
  }
  return due;
}

void EndpointTable::OnProbeEnd(const std::string& name,
                               ProbeEnd end,
                               Time now) {
  const auto found = rows_.find(name);
  if (found == rows_.end())
    return;
  Row& row = found->second;
  row.probing = false;
  if (end == ProbeEnd::kFailed) {
    OnFailure(row, now);
    return;
  }
  row.draining = end == ProbeEnd::kDraining;
  // An endpoint put aside comes back with its first healthy probe after that.
  if (row.aside_until && now >= *row.aside_until)
    row.aside_until.reset();
  if (!row.aside_until)
    row.failures = 0;
}

std::string EndpointTable::AddressOf(const std::string& name) const {
  const auto found = rows_.find(name);
  return found == rows_.end() ? "" : found->second.settings.address;
}

int EndpointTable::UsableSlots() const {
  int slots = 0;
  for (const auto& [name, row] : rows_) {
    if (IsUsable(row))
      slots += static_cast<int>(row.limit);
  }
  return slots;
}

bool EndpointTable::HasFreeSlot(Time now) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
    return HasRoom(item.second, now);
  });
}

bool EndpointTable::IsUsable(const Row& row) const {
  return !row.settings.drained && !row.draining && !row.aside_until;
}

bool EndpointTable::HasRoom(const Row& row, Time now) const {
  return IsUsable(row) && now >= row.refused_until &&
         row.inflight < static_cast<int>(row.limit);
}

void EndpointTable::OnRefusal(Row& row, Time now) {
  row.limit = std::max(1.0, row.limit * kLimitDecrease);
  row.refused_until = now + kRefusalPause;
}

void EndpointTable::OnAnswer(Row& row) {
  row.ejections = 0;
  // One more for each time that all which may run have been answered.
  row.limit = std::min<double>(row.settings.slots, row.limit + 1 / row.limit);
}

void EndpointTable::OnFailure(Row& row, Time now) {
  ++row.failures;
  if (row.failures < probe_failures_)
    return;
  const bool already = row.aside_until.has_value();
  if (!already && (AsideCount() + 1) * 100 > rows_.size() * kMaxAsidePercent)
    return;
  row.failures = 0;
  row.aside_until =
      now +
      kFirstEjection * (1 << std::min(row.ejections, kMaxEjectionDoublings));
  ++row.ejections;
}

std::size_t EndpointTable::AsideCount() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [](const auto& row) { return row.second.aside_until.has_value(); }));
}

}  // namespace jacinth::forwarding
