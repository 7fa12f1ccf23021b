#include <algorithm>
#include <utility>
#include <vector>

#include "core/forwarding/endpoint_table.h"

namespace jacinth::forwarding {
namespace {

/// Requests per second that a slot is assumed to take after a wait, as nothing
/// recent is known.
constexpr double kRequestsPerSlot = 1;

}  // namespace

bool EndpointTable::OnRateLimitNotice(const std::string& name,
                                      const RateLimitNotice& notice,
                                      Time now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end())
    return false;
  EndpointState& state = found->second;
  if (!state.rate_limit.OnNotice(notice, senders_, name, now))
    return false;
  if (notice.per_second) {
    AddLogRecord("endpoint_limit_named", state)
        .With("per_second", *notice.per_second)
        .With("own_per_second", state.rate_limit.gate().per_second());
  } else {
    AddLogRecord("endpoint_limit_ended", state);
  }
  return true;
}

void EndpointTable::SetRateShares(
    const std::map<std::string, protocol::RateShare>& shares,
    Time now) {
  for (auto& [name, state] : endpoints_) {
    const auto share = shares.find(name);
    const bool applies = share != shares.end() &&
                         share->second.started_ms == state.settings.started_ms;
    state.rate_limit.SetShare(
        applies ? std::optional(share->second) : std::nullopt, senders_, name,
        now);
  }
}

void EndpointTable::RepeatRateLimitReports() {
  for (auto& [name, state] : endpoints_)
    state.rate_limit.RepeatReport();
}

void EndpointTable::OnRateLimitReportsReceived(std::uint64_t sequence,
                                               Time now) {
  for (auto& [name, state] : endpoints_) {
    if (state.rate_limit.OnReportsRejected(sequence, now))
      AddLogRecord("endpoint_limit_ended", state).With("why", "not_confirmed");
  }
}

std::vector<protocol::RateLimitReport> EndpointTable::TakeRateLimitReports(
    std::uint64_t sequence,
    Time now) {
  std::vector<protocol::RateLimitReport> reports;
  for (auto& [name, state] : endpoints_) {
    auto report = state.rate_limit.TakeReport(sequence, now);
    if (!report)
      continue;
    report->key.endpoint = name;
    report->started_ms = state.settings.started_ms;
    reports.push_back(std::move(*report));
  }
  return reports;
}

void EndpointTable::CountRefusedDemand(const std::string& owner, Time now) {
  const auto found = endpoints_.find(owner);
  if (found != endpoints_.end() && IsUsable(found->second)) {
    found->second.rate_limit.CountDemand(1, now);
    return;
  }
  std::vector<EndpointState*> limited;
  for (auto& [name, state] : endpoints_) {
    if (IsUsable(state) && state.rate_limit.gate().is_limited())
      limited.push_back(&state);
  }
  for (EndpointState* state : limited)
    state->rate_limit.CountDemand(1 / static_cast<double>(limited.size()), now);
}

bool EndpointTable::IsRateLimited() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [this](const auto& item) {
                       return IsUsable(item.second) &&
                              item.second.rate_limit.gate().is_limited();
                     });
}

bool EndpointTable::IsRateBlocked(const std::string& name, Time now) const {
  const auto found = endpoints_.find(name);
  return found != endpoints_.end() && IsUsable(found->second) &&
         (!found->second.rate_limit.gate().Allows(now) ||
          found->second.wait.IsWaiting(now));
}

std::optional<RateBlock> EndpointTable::FindRateBlock(Time now) const {
  std::optional<RateBlock> block;
  for (const auto& [name, state] : endpoints_) {
    if (!IsUsable(state))
      continue;
    const RateGate& gate = state.rate_limit.gate();
    if (gate.Allows(now) && !state.wait.IsWaiting(now))
      return std::nullopt;
    if (!block)
      block = RateBlock{Time::max(), 0};
    block->until = std::min(
        block->until, std::max(gate.NextAllowed(now), state.wait.until()));
    block->per_second += gate.is_limited()
                             ? gate.per_second()
                             : state.settings.slots * kRequestsPerSlot;
  }
  return block;
}

}  // namespace jacinth::forwarding
