#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

/// Interval between reports of the endpoints that drain, so that a new leader
/// learns of them.
constexpr Duration kDrainReportInterval = 1s;

}  // namespace

void EntryNode::OnNotices(ServiceState& service_state,
                          const std::string& endpoint,
                          const forwarding::EndpointProcess& process,
                          const forwarding::EndpointNotices& notices,
                          Time now) {
  if (!service_state.endpoints.OnNotices(endpoint, process, notices, now))
    return;
  next_drain_reports_ = Time{};
  session_.ExpediteHeartbeat(now);
}

// Reports the endpoints that have said to this entry that they leave, and those
// that were listed as draining. Endpoints of unknown start time are left out,
// as nobody could tell when another process has taken their place.
std::vector<protocol::DrainReport> EntryNode::TakeDrainReports(Time now) {
  std::vector<protocol::DrainReport> reports;
  if (now < next_drain_reports_)
    return reports;
  next_drain_reports_ = now + kDrainReportInterval;
  for (const auto& [id, listed] : session_.endpoints()) {
    if (listed.started_ms == 0)
      continue;
    const auto service_state = services_.find(listed.service);
    const bool leaving = service_state != services_.end() &&
                         service_state->second.endpoints.IsLeaving(id);
    if (leaving || listed.draining)
      reports.push_back({id, listed.address, listed.started_ms});
  }
  return reports;
}

}  // namespace jacinth::entry
