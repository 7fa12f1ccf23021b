#include <utility>

#include "core/common/split.h"
#include "core/control/control_node.h"

namespace jacinth::control {

log::Record& ControlNode::LogEvent(std::string_view event) {
  log::Record record;
  record.category = log::Category::kControl;
  record.event = event;
  actions_.log_records.push_back(std::move(record));
  return actions_.log_records.back();
}

void ControlNode::LogStateChanges(Time now) {
  if (!replica_)
    return;
  if (replica_->leader() != logged_leader_) {
    logged_leader_ = replica_->leader();
    LogEvent(logged_leader_.empty() ? "leader_lost" : "leader_known")
        .With("leader", logged_leader_)
        .With("term", replica_->term())
        .With("commit_index", replica_->commit_index());
  }
  const bool lease = HasLeaderLease(now);
  if (lease != std::exchange(logged_lease_, lease)) {
    LogEvent(lease ? "lease_held" : "lease_lost")
        .With("term", replica_->term())
        .With("revision", state_.revision())
        .With("operator_version", state_.operator_version());
  }
  if (replica_->configuration() != logged_replicas_) {
    logged_replicas_ = replica_->configuration();
    LogEvent("replicas_changed")
        .With("voters", JoinList(logged_replicas_.voters))
        .With("learners", JoinList(logged_replicas_.learners))
        .With("term", replica_->term());
  }
}

// Names the endpoints that a listing shows as draining and that aren't known to
// drain yet. Must be called before the listing is applied.
void ControlNode::LogNewDrains(
    const std::vector<protocol::ListedEndpoint>& listed) {
  std::vector<std::string> drained;
  for (const protocol::ListedEndpoint& endpoint : listed) {
    if (endpoint.draining && !catalog_.IsDraining(endpoint.id))
      drained.push_back(endpoint.id);
  }
  if (drained.empty())
    return;
  LogEvent("endpoints_leave")
      .With("count", drained.size())
      .With("endpoints", JoinList(drained));
}

void ControlNode::LogChange(AdminTicket ticket, const ChangeOutcome& outcome) {
  LogEvent(outcome.accepted ? "change_accepted" : "change_refused")
      .With("ticket", ticket)
      .With("revision", outcome.revision)
      .With("operator_version", state_.operator_version())
      .With("term", replica_->term());
}

void ControlNode::LogRefusal(AdminTicket ticket, const Error& error) {
  LogEvent("call_refused")
      .With("ticket", ticket)
      .With("error", GetErrorKindInfo(error.kind).name)
      .With("detail", error.detail)
      .With("revision", state_.revision())
      .With("operator_version", state_.operator_version());
}

}  // namespace jacinth::control
