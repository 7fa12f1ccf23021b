#include <algorithm>

#include "core/forwarding/endpoint_table.h"

namespace jacinth::forwarding {
namespace {

EndpointProcess ProcessOfSettings(const settings::EndpointSettings& endpoint) {
  return {endpoint.address, endpoint.started_ms};
}

}  // namespace

bool EndpointTable::OnNotices(const std::string& name,
                              const EndpointProcess& process,
                              const EndpointNotices& notices,
                              Time now) {
  const bool left = notices.leaving && memory_.SetLeaving(name, process, now);
  const bool waits =
      notices.wait && memory_.SetWait(name, process, *notices.wait, now);
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end())
    return left;
  EndpointState& state = found->second;
  ApplyMemory(state);
  if (left)
    AddLogRecord("endpoint_leaving", state);
  if (waits) {
    AddLogRecord("endpoint_asks_to_wait", state)
        .With("for_ms", ToMillis(*notices.wait));
  }
  for (const NoticeKind kind : notices.unreadable) {
    if (memory_.ShouldLogUnreadable(name, now)) {
      AddLogRecord("endpoint_notice_unreadable", state)
          .With("notice", NoticeKindName(kind));
    }
  }
  return left;
}

bool EndpointTable::IsLeaving(const std::string& name) const {
  const auto found = endpoints_.find(name);
  return found != endpoints_.end() && found->second.leaving;
}

EndpointProcess EndpointTable::ProcessOf(const std::string& name) const {
  const auto found = endpoints_.find(name);
  return found == endpoints_.end() ? EndpointProcess{}
                                   : ProcessOfSettings(found->second.settings);
}

bool EndpointTable::AcceptsProbes(const std::string& name, Time now) const {
  const auto found = endpoints_.find(name);
  return found != endpoints_.end() && AcceptsProbes(found->second, now);
}

Duration EndpointTable::RemainingWait(const std::string& name, Time now) const {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end() || !found->second.wait.IsWaiting(now))
    return Duration{0};
  return found->second.wait.until() - now;
}

bool EndpointTable::IsWaitAsked(Time now) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
        const EndpointState& state = item.second;
        return IsUsable(state) &&
               state.wait.MaxRequests(state.settings.slots, now).has_value();
      });
}

// An endpoint that leaves is probed only if its start time is unknown: a
// healthy answer then shows that another process is running.
bool EndpointTable::AcceptsProbes(const EndpointState& state, Time now) const {
  if (state.wait.IsWaiting(now))
    return false;
  return !state.leaving || state.settings.started_ms == 0;
}

void EndpointTable::ApplyMemory(EndpointState& state) const {
  const std::string& name = state.settings.name;
  const EndpointProcess process = ProcessOfSettings(state.settings);
  state.leaving = memory_.IsLeaving(name, process);
  state.wait = memory_.WaitOf(name, process);
}

void EndpointTable::EndLeaving(EndpointState& state) {
  if (state.settings.started_ms != 0 ||
      !memory_.EndLeaving(state.settings.name))
    return;
  ApplyMemory(state);
  AddLogRecord("endpoint_stays", state);
}

}  // namespace jacinth::forwarding
