#include "core/forwarding/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

/// Duration of the first ejection of an endpoint; doubles with each further
/// ejection.
constexpr Duration kFirstEjection = 1s;
constexpr int kMaxEjectionDoublings = 5;
/// Interval between probes of an ejected endpoint if no others are probed.
constexpr Duration kAsideProbes = 500ms;
/// Maximum percentage of a service's endpoints that are ejected at a time.
constexpr std::size_t kMaxAsidePercent = 50;
/// Maximum age of an endpoint's last answer at which a timeout is attributed to
/// the endpoint's load.
constexpr Duration kBusyAnswerAge = 1s;
/// Weight of a new value in the moving averages over a service's attempts.
constexpr double kNewAnswerShare = 1.0 / 16;
/// Share of a service's attempts ending in soft failures above which these are
/// attributed to the service and not to the endpoint.
constexpr double kMaxOutlierShare = 0.2;
/// Factor by which a refusal reduces the concurrency limit.
constexpr double kLimitDecrease = 0.7;
/// Time without requests to an endpoint after a refusal.
constexpr Duration kRefusalPause = 10ms;

bool SameStart(const settings::EndpointSettings& left,
               const settings::EndpointSettings& right) {
  return left.address == right.address &&
         left.incarnation == right.incarnation &&
         left.started_ms == right.started_ms;
}

}  // namespace

void EndpointTable::Update(const settings::ServiceSettings& service, Time now) {
  probe_failures_ = service.probe_failures;
  probe_interval_ = service.probe_interval;
  queue_percent_ = service.endpoint_queue_percent;
  wait_percent_ = service.endpoint_wait_percent;
  warmup_ = service.warmup;
  std::set<std::string> kept;
  for (const settings::EndpointSettings& endpoint : service.endpoints) {
    kept.insert(endpoint.name);
    const auto [found, added] = rows_.try_emplace(endpoint.name);
    Row& row = found->second;
    const bool new_start = !added && !SameStart(row.settings, endpoint);
    if (new_start) {
      const EndpointLoad load = row.load;
      row = Row{};
      row.load = load;
    }
    const bool new_slots =
        row.settings.slots != endpoint.slots || row.limit < 1;
    const bool drain_ended = row.settings.drained && !endpoint.drained;
    row.settings = endpoint;
    if (new_slots)
      row.limit = endpoint.slots;
    // An endpoint that is added or returns after the first list is assumed to
    // be cold, because lists lag behind the endpoint's start.
    if (listed_ && (added || new_start || drain_ended))
      ChillRow(row, now);
    row.cold_until = std::max(row.cold_until, now + endpoint.cold_for);
  }
  listed_ |= !service.endpoints.empty();
  for (auto& [name, row] : rows_) {
    if (kept.count(name) == 0)
      row.settings.drained = true;
  }
  // Removed endpoints with requests in flight stay until those end.
  std::erase_if(rows_, [&](const auto& item) {
    return kept.count(item.first) == 0 && item.second.load.own() == 0;
  });
}

void EndpointTable::OnAttemptEnd(const std::string& name,
                                 AttemptEnd end,
                                 const std::optional<LoadReport>& load,
                                 Time now) {
  const auto found = rows_.find(name);
  if (found == rows_.end())
    return;
  Row& row = found->second;
  row.load.OnEnd(load, now);
  --inflight_;
  if (load)
    NoteLoad(*load);
  if (end == AttemptEnd::kCancelled)
    return;
  if (end == AttemptEnd::kMisdirected) {
    row.misdirected = true;
    Note("endpoint_replaced", row);
    return;
  }
  const std::string_view soft_failure = SoftFailure(row, end, load, now);
  soft_failure_share_ +=
      ((soft_failure.empty() ? 0.0 : 1.0) - soft_failure_share_) *
      kNewAnswerShare;
  if (end != AttemptEnd::kTimedOut && !IsEndpointFailure(end))
    row.last_answer = now;
  if (end == AttemptEnd::kRefused && soft_failure.empty())
    OnRefusal(row, now);
  if (!soft_failure.empty()) {
    // An endpoint is no outlier if soft failures are common in the whole
    // service.
    if (soft_failure_share_ <= kMaxOutlierShare)
      OnFailure(row, soft_failure, now);
    return;
  }
  if (IsEndpointFailure(end) && end != AttemptEnd::kTimedOut) {
    OnFailure(row, AttemptEndName(end), now);
    return;
  }
  if (end == AttemptEnd::kAnswered || end == AttemptEnd::kAnswerTooLarge)
    OnAnswer(row);
}

// Returns the reason if the attempt ended in a soft failure, which is due to
// either the endpoint or the load of the whole service; otherwise an empty
// string.
std::string_view EndpointTable::SoftFailure(
    const Row& row,
    AttemptEnd end,
    const std::optional<LoadReport>& load,
    Time now) {
  if (end == AttemptEnd::kAnsweredFailure)
    return AttemptEndName(end);
  if (end == AttemptEnd::kRefused && load && load->HasIdleSlot())
    return "refused_while_idle";
  if (end != AttemptEnd::kTimedOut)
    return {};
  // An endpoint without idle slots that still answers other requests is
  // overloaded, not failing.
  const bool busy =
      !HasIdleSlot(row, now) && now < row.last_answer + kBusyAnswerAge;
  return busy ? std::string_view{} : AttemptEndName(end);
}

std::vector<std::string> EndpointTable::DueProbes(Time now) {
  std::vector<std::string> due;
  for (auto& [name, row] : rows_) {
    const bool wanted = probe_interval_ > Duration{0} ||
                        (row.aside_until && now >= *row.aside_until);
    if (!wanted || row.probing || now < row.probe_due)
      continue;
    row.probing = true;
    row.probe_due =
        now + (probe_interval_ > Duration{0} ? probe_interval_ : kAsideProbes);
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
    OnFailure(row, "probe_failed", now);
    return;
  }
  if (end == ProbeEnd::kDraining && !row.draining)
    Note("endpoint_draining", row);
  row.draining = end == ProbeEnd::kDraining;
  // The first healthy probe after the ejection time brings an ejected endpoint
  // back.
  if (row.aside_until && now >= *row.aside_until) {
    row.aside_until.reset();
    Note("endpoint_back", row);
    ChillRow(row, now);
  }
  if (!row.aside_until)
    row.failures = 0;
}

const settings::EndpointSettings* EndpointTable::Find(
    const std::string& name) const {
  const auto found = rows_.find(name);
  return found == rows_.end() ? nullptr : &found->second.settings;
}

int EndpointTable::UsableSlots() const {
  int slots = 0;
  for (const auto& [name, row] : rows_) {
    if (IsUsable(row))
      slots += static_cast<int>(RoomOf(row));
  }
  return slots;
}

bool EndpointTable::HasFreeSlot(Time now) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
    return HasRoom(item.second, now) && ColdAllows(item.second, now);
  });
}

bool EndpointTable::IsUsable(const Row& row) const {
  return !row.settings.drained && !row.draining && !row.misdirected &&
         !row.aside_until;
}

void EndpointTable::ChillRow(Row& row, Time now) const {
  row.cold_until = std::max(row.cold_until, now + warmup_);
}

void EndpointTable::NoteLoad(const LoadReport& load) {
  if (load.slots <= 0)
    return;
  const double busy =
      std::min(1.0, static_cast<double>(load.running) / load.slots);
  busy_share_ += (busy - busy_share_) * kNewAnswerShare;
}

void EndpointTable::OnRefusal(Row& row, Time now) const {
  row.limit = std::max(1.0, row.limit * kLimitDecrease);
  row.refused_until = now + kRefusalPause;
}

void EndpointTable::OnAnswer(Row& row) {
  // An answer cancels only one failure, so that an endpoint that fails half of
  // its requests or more is noticed, too.
  row.failures = std::max(0, row.failures - 1);
  row.ejections = 0;
  // Additive increase: the limit rises by one for each `limit` answers.
  row.limit = std::min<double>(row.settings.slots, row.limit + 1 / row.limit);
}

void EndpointTable::OnFailure(Row& row, std::string_view why, Time now) {
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
  Note("endpoint_aside", row)
      .With("why", why)
      .With("failures", probe_failures_)
      .With("for_ms", ToMillis(*row.aside_until - now));
}

EndpointView EndpointTable::Describe(const std::string& name, Time now) const {
  EndpointView view;
  view.service_busy = busy_share_;
  const auto found = rows_.find(name);
  if (found == rows_.end())
    return view;
  const Row& row = found->second;
  view.load = row.load.Total(now);
  if (row.load.is_told())
    view.load_age = row.load.ReportAge(now);
  view.slots = row.settings.slots;
  view.cold = now < row.cold_until;
  return view;
}

log::Record& EndpointTable::Note(std::string_view event, const Row& row) {
  log::Record note;
  note.category = log::Category::kForwarding;
  note.event = event;
  note.With("endpoint", row.settings.name)
      .With("address", row.settings.address)
      .With("own_requests", row.load.own());
  notes_.push_back(std::move(note));
  return notes_.back();
}

std::size_t EndpointTable::AsideCount() const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [](const auto& row) { return row.second.aside_until.has_value(); }));
}

}  // namespace jacinth::forwarding
