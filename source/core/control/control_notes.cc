#include <utility>

#include "core/common/split.h"
#include "core/control/control_node.h"

namespace jacinth::control {

log::Record& ControlNode::Note(std::string_view event) {
  log::Record note;
  note.category = log::Category::kControl;
  note.event = event;
  actions_.log_records.push_back(std::move(note));
  return actions_.log_records.back();
}

void ControlNode::NoteBeliefs(Time now) {
  if (!replica_)
    return;
  if (replica_->leader() != noted_leader_) {
    noted_leader_ = replica_->leader();
    Note(noted_leader_.empty() ? "leader_lost" : "leader_known")
        .With("leader", noted_leader_)
        .With("term", replica_->term())
        .With("commit_index", replica_->commit_index());
  }
  const bool lease = Leads(now);
  if (lease != std::exchange(noted_lease_, lease)) {
    Note(lease ? "lease_held" : "lease_lost")
        .With("term", replica_->term())
        .With("revision", state_.revision())
        .With("operator_version", state_.operator_version());
  }
  if (replica_->configuration() != noted_replicas_) {
    noted_replicas_ = replica_->configuration();
    Note("replicas_changed")
        .With("voters", JoinList(noted_replicas_.voters))
        .With("learners", JoinList(noted_replicas_.learners))
        .With("term", replica_->term());
  }
}

void ControlNode::NoteChange(AdminTicket ticket, const ChangeOutcome& outcome) {
  Note(outcome.accepted ? "change_accepted" : "change_refused")
      .With("ticket", ticket)
      .With("revision", outcome.revision)
      .With("operator_version", state_.operator_version())
      .With("term", replica_->term());
}

void ControlNode::NoteRefusal(AdminTicket ticket, const Error& error) {
  Note("call_refused")
      .With("ticket", ticket)
      .With("error", AnswerFor(error.kind).name)
      .With("detail", error.detail)
      .With("revision", state_.revision())
      .With("operator_version", state_.operator_version());
}

}  // namespace jacinth::control
