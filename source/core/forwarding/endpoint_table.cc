#include "core/forwarding/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/common/split.h"

namespace jacinth::forwarding {
namespace {

/// Duration of the first ejection of an endpoint; doubles with each further
/// ejection.
constexpr Duration kFirstEjectionTime = 1s;
constexpr int kMaxEjectionDoublings = 5;
/// Interval between probes of an ejected endpoint if no others are probed.
constexpr Duration kEjectedProbeInterval = 500ms;
/// Maximum percentage of a service's endpoints that are ejected at a time.
constexpr std::size_t kMaxEjectedPercent = 50;
/// Maximum age of an endpoint's last answer at which a timeout is attributed to
/// the endpoint's load.
constexpr Duration kMaxBusyAnswerAge = 1s;
/// Weight of a new value in the moving averages over a service's attempts.
constexpr double kSmoothingFactor = 1.0 / 16;
/// Share of a service's attempts ending in soft failures above which these are
/// attributed to the service and not to the endpoint.
constexpr double kMaxOutlierShare = 0.2;
/// Factor by which a refusal reduces the concurrency limit.
constexpr double kLimitDecreaseFactor = 0.7;
/// Time without requests to an endpoint after a refusal.
constexpr Duration kRefusalBackoff = 10ms;

bool IsSameProcess(const settings::EndpointSettings& left,
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
  std::set<std::string> listed_names;
  std::vector<std::string> drained;
  for (const settings::EndpointSettings& endpoint : service.endpoints) {
    listed_names.insert(endpoint.name);
    const auto [found, added] = endpoints_.try_emplace(endpoint.name);
    EndpointState& state = found->second;
    const bool restarted = !added && !IsSameProcess(state.settings, endpoint);
    if (restarted) {
      const EndpointLoad load = state.load;
      state = EndpointState{};
      state.load = load;
    }
    const bool new_slots =
        state.settings.slots != endpoint.slots || state.limit < 1;
    const bool drain_ended = state.settings.drained && !endpoint.drained;
    if (!added && !state.settings.drained && endpoint.drained)
      drained.push_back(endpoint.name);
    state.settings = endpoint;
    if (new_slots)
      state.limit = endpoint.slots;
    // An endpoint that is added or returns after the first list is assumed to
    // be cold, because lists lag behind the endpoint's start.
    if (has_endpoint_list_ && (added || restarted || drain_ended))
      MarkCold(state, now);
    state.cold_until =
        std::max(state.cold_until, now + endpoint.remaining_warmup);
    ApplyMemory(state);
  }
  has_endpoint_list_ |= !service.endpoints.empty();
  if (!drained.empty()) {
    log::Record record;
    record.category = log::Category::kForwarding;
    record.event = "endpoints_drained";
    record.With("count", drained.size()).With("endpoints", JoinList(drained));
    log_records_.push_back(std::move(record));
  }
  for (auto& [name, state] : endpoints_) {
    if (listed_names.count(name) == 0)
      state.settings.drained = true;
  }
  // Removed endpoints with requests in flight stay until those end.
  std::erase_if(endpoints_, [&](const auto& item) {
    return listed_names.count(item.first) == 0 &&
           item.second.load.own_requests() == 0;
  });
  memory_.Prune(
      [&](const std::string& name) { return listed_names.count(name) != 0; },
      now);
}

void EndpointTable::OnAttemptEnd(const std::string& name,
                                 AttemptEnd end,
                                 const std::optional<LoadReport>& load,
                                 Time now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end())
    return;
  EndpointState& state = found->second;
  state.load.OnRequestEnd(load, now);
  --inflight_;
  if (load)
    UpdateBusyShare(*load);
  if (end == AttemptEnd::kCancelled || end == AttemptEnd::kWithdrawn)
    return;
  if (end == AttemptEnd::kMisdirected) {
    state.misdirected = true;
    AddLogRecord("endpoint_replaced", state);
    return;
  }
  const std::string_view soft_failure =
      SoftFailureReason(state, end, load, now);
  soft_failure_share_ +=
      ((soft_failure.empty() ? 0.0 : 1.0) - soft_failure_share_) *
      kSmoothingFactor;
  if (end != AttemptEnd::kTimedOut && !IsEndpointFailure(end))
    state.last_answer = now;
  if (end == AttemptEnd::kRefused && soft_failure.empty())
    OnRefusal(state, now);
  if (!soft_failure.empty()) {
    // An endpoint is no outlier if soft failures are common in the whole
    // service.
    if (soft_failure_share_ <= kMaxOutlierShare)
      OnFailure(state, soft_failure, now);
    return;
  }
  // An endpoint that asks to wait is not failing.
  if (end == AttemptEnd::kAmbiguousRefusal && state.wait.IsWaiting(now))
    return;
  if (IsEndpointFailure(end) && end != AttemptEnd::kTimedOut) {
    OnFailure(state, AttemptEndName(end), now);
    return;
  }
  if (end == AttemptEnd::kAnswered || end == AttemptEnd::kAnswerTooLarge)
    OnAnswer(state);
}

// Returns the reason if the attempt ended in a soft failure, which may be due
// to the endpoint or to the load of the whole service; otherwise an empty
// string.
std::string_view EndpointTable::SoftFailureReason(
    const EndpointState& state,
    AttemptEnd end,
    const std::optional<LoadReport>& load,
    Time now) {
  if (end == AttemptEnd::kAnsweredFailure)
    return AttemptEndName(end);
  // An endpoint with a rate limit, or that asks to wait, refuses despite idle
  // slots.
  if (end == AttemptEnd::kRefused && load && load->HasIdleSlot() &&
      !state.rate_limit.gate().is_limited() && !state.wait.IsWaiting(now))
    return "refused_while_idle";
  if (end != AttemptEnd::kTimedOut)
    return {};
  // An endpoint without idle slots that still answers other requests is
  // overloaded, not failing.
  const bool busy =
      !HasIdleSlot(state, now) && now < state.last_answer + kMaxBusyAnswerAge;
  return busy ? std::string_view{} : AttemptEndName(end);
}

std::vector<std::string> EndpointTable::DueProbes(Time now) {
  std::vector<std::string> due_probes;
  for (auto& [name, state] : endpoints_) {
    const bool probe_wanted =
        probe_interval_ > Duration{0} || state.leaving ||
        (state.ejected_until && now >= *state.ejected_until);
    if (!probe_wanted || state.probing || now < state.probe_due ||
        !AcceptsProbes(state, now))
      continue;
    state.probing = true;
    state.probe_due =
        now + (probe_interval_ > Duration{0} ? probe_interval_
                                             : kEjectedProbeInterval);
    state.probe_started = now;
    due_probes.push_back(name);
  }
  return due_probes;
}

void EndpointTable::OnProbeEnd(const std::string& name,
                               ProbeEnd end,
                               Time now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end())
    return;
  EndpointState& state = found->second;
  state.probing = false;
  if (end == ProbeEnd::kFailed) {
    OnFailure(state, "probe_failed", now);
    return;
  }
  if (end == ProbeEnd::kHealthy && state.leaving &&
      memory_.LeavingSaid(name) < state.probe_started)
    EndLeaving(state);
  if (end == ProbeEnd::kDraining && !state.draining)
    AddLogRecord("endpoint_draining", state);
  state.draining = end == ProbeEnd::kDraining;
  // The first answered probe after the ejection time ends the ejection.
  if (state.ejected_until && now >= *state.ejected_until) {
    state.ejected_until.reset();
    AddLogRecord("endpoint_back", state);
    MarkCold(state, now);
  }
  if (!state.ejected_until)
    state.failures = 0;
}

void EndpointTable::ForgiveFailures() {
  for (auto& [name, state] : endpoints_) {
    state.failures = 0;
    state.ejections = 0;
    if (std::exchange(state.ejected_until, std::nullopt))
      AddLogRecord("endpoint_back", state);
  }
}

const settings::EndpointSettings* EndpointTable::Find(
    const std::string& name) const {
  const auto found = endpoints_.find(name);
  return found == endpoints_.end() ? nullptr : &found->second.settings;
}

int EndpointTable::UsableSlots() const {
  int slots = 0;
  for (const auto& [name, state] : endpoints_) {
    if (IsUsable(state))
      slots += static_cast<int>(CapacityOf(state));
  }
  return slots;
}

bool EndpointTable::HasFreeSlot(Time now) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
        return HasCapacity(item.second, now) && WarmupAllows(item.second, now);
      });
}

bool EndpointTable::IsUsable(const EndpointState& state) const {
  return !state.settings.drained && !state.draining && !state.leaving &&
         !state.misdirected && !state.ejected_until;
}

void EndpointTable::MarkCold(EndpointState& state, Time now) const {
  state.cold_until = std::max(state.cold_until, now + warmup_);
}

void EndpointTable::UpdateBusyShare(const LoadReport& load) {
  if (load.slots <= 0)
    return;
  const double busy =
      std::min(1.0, static_cast<double>(load.running) / load.slots);
  busy_share_ += (busy - busy_share_) * kSmoothingFactor;
}

void EndpointTable::OnRefusal(EndpointState& state, Time now) const {
  state.limit = std::max(1.0, state.limit * kLimitDecreaseFactor);
  state.refused_until = now + kRefusalBackoff;
}

void EndpointTable::OnAnswer(EndpointState& state) {
  // An answer offsets only one failure, so that an endpoint that fails about
  // half of its requests is ejected, too.
  state.failures = std::max(0, state.failures - 1);
  state.ejections = 0;
  // Additive increase: the limit rises by one for each `limit` answers.
  state.limit =
      std::min<double>(state.settings.slots, state.limit + 1 / state.limit);
}

void EndpointTable::OnFailure(EndpointState& state,
                              std::string_view why,
                              Time now) {
  ++state.failures;
  if (state.failures < probe_failures_)
    return;
  const bool already_ejected = state.ejected_until.has_value();
  if (!already_ejected &&
      (EjectedCount() + 1) * 100 > endpoints_.size() * kMaxEjectedPercent)
    return;
  state.failures = 0;
  state.ejected_until =
      now + kFirstEjectionTime *
                (1 << std::min(state.ejections, kMaxEjectionDoublings));
  ++state.ejections;
  AddLogRecord("endpoint_aside", state)
      .With("why", why)
      .With("failures", probe_failures_)
      .With("for_ms", ToMillis(*state.ejected_until - now));
}

EndpointView EndpointTable::Describe(const std::string& name, Time now) const {
  EndpointView view;
  view.service_busy = busy_share_;
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end())
    return view;
  const EndpointState& state = found->second;
  view.load = state.load.TotalRequests(now);
  if (state.load.has_report())
    view.load_age = state.load.ReportAge(now);
  view.slots = state.settings.slots;
  view.cold = now < state.cold_until;
  return view;
}

log::Record& EndpointTable::AddLogRecord(std::string_view event,
                                         const EndpointState& state) {
  log::Record record;
  record.category = log::Category::kForwarding;
  record.event = event;
  record.With("endpoint", state.settings.name)
      .With("address", state.settings.address)
      .With("own_requests", state.load.own_requests());
  log_records_.push_back(std::move(record));
  return log_records_.back();
}

std::size_t EndpointTable::EjectedCount() const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [](const auto& state) {
        return state.second.ejected_until.has_value();
      }));
}

}  // namespace jacinth::forwarding
