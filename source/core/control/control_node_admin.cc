#include <set>
#include <utility>

#include "core/control/control_node.h"
#include "core/settings/tree_validation.h"

namespace jacinth::control {
namespace {

using settings::Tree;

// Returns the branches whose own values differ between the two trees.
std::set<std::string> ChangedBranches(const Tree& before, const Tree& after) {
  std::set<std::string> changed;
  for (const auto& [branch, values] : before.branches()) {
    const Tree::Values* now = after.Find(branch);
    if (now == nullptr || *now != values)
      changed.insert(branch);
  }
  for (const auto& [branch, values] : after.branches()) {
    if (before.Find(branch) == nullptr)
      changed.insert(branch);
  }
  return changed;
}

}  // namespace

void ControlNode::ServeChange(const ChangeRequested& event,
                              Time deadline,
                              ClockReading clock) {
  if (const auto first = state_.FindResult(event.change)) {
    if (first->accepted) {
      actions_.replies.push_back(
          {event.ticket, ChangeAccepted{first->revision}});
      return;
    }
    Refuse(event.ticket, first->refusal,
           "the operator has already used this Idempotency-Key", clock.now);
    return;
  }
  if (const auto error = ValidateChange(event)) {
    // The state that the change was checked against may be outdated if the
    // lease has lapsed meanwhile. A change that is valid needs no lease.
    if (!HasLeaderLease(clock.now))
      ServeOrWait({event, deadline, /*needs_lease=*/true}, clock);
    else
      Refuse(event.ticket, error->kind, error->detail, clock.now);
    return;
  }
  if (!ProposeCommand(PendingChange{event.ticket, deadline}, event.change,
                      clock)) {
    Refuse(event.ticket, ErrorKind::kNotLeader,
           "this replica could not propose the change; send it to the leader",
           clock.now);
    return;
  }
  LogEvent("change_proposed")
      .With("ticket", event.ticket)
      .With("index", replica_->last_index())
      .With("has_lease", HasLeaderLease(clock.now))
      .With("term", replica_->term());
}

void ControlNode::Refuse(AdminTicket ticket,
                         ErrorKind kind,
                         std::string detail,
                         Time now) {
  CallRefused refused;
  refused.error = {kind, std::move(detail)};
  LogRefusal(ticket, refused.error);
  refused.revision = state_.revision();
  // A redirect to a leader that is gone would cost the operator a time-out.
  if (HearsOtherLeader(now))
    refused.leader = LeaderInstance();
  actions_.replies.push_back({ticket, std::move(refused)});
}

std::optional<Error> ControlNode::ValidateChange(
    const ChangeRequested& event) const {
  const bool by_revision =
      !event.change.any_revision && !event.change.version_step;
  if (by_revision && event.change.if_revision != state_.revision()) {
    return Error{
        ErrorKind::kRevisionConflict,
        "the current revision is " + std::to_string(state_.revision())};
  }
  if (event.change.version_step) {
    const protocol::VersionStep& step = *event.change.version_step;
    if (step.base != state_.operator_version() || step.next <= step.base) {
      return Error{ErrorKind::kRevisionConflict,
                   "the current version is " +
                       std::to_string(state_.operator_version())};
    }
  }
  const Tree after = state_.Preview(event.change);
  for (const std::string& branch : ChangedBranches(state_.tree(), after)) {
    if (!event.operator_settings.CanChange(branch)) {
      return Error{ErrorKind::kForbidden,
                   "operator " + event.operator_settings.name +
                       " may not change [" + branch + "]"};
    }
  }
  const settings::SettingFaults faults = settings::ValidateTree(after);
  if (!faults.empty())
    return Error{ErrorKind::kInvalidSettings,
                 settings::FormatFaults("", faults)};
  return std::nullopt;
}

ControlView ControlNode::MakeView(Time now) const {
  ControlView view;
  view.replica = options_.replica.id;
  view.leader = LeaderInstance();
  view.current = HasLeaderLease(now);
  view.revision = state_.revision();
  view.operator_version = state_.operator_version();
  view.tree = state_.shared_tree();
  view.entries = registry_.Statuses();
  view.audit.assign(state_.audit().begin(), state_.audit().end());
  view.ledger_rows = state_.ledger().size();
  if (replica_) {
    view.term = replica_->term();
    view.commit_index = replica_->commit_index();
    view.replicas = replica_->configuration();
    view.replicas_settled = replica_->ConfigurationSettled();
  }
  return view;
}

}  // namespace jacinth::control
