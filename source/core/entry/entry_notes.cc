#include <utility>

#include "core/entry/entry_node.h"

namespace jacinth::entry {

log::Record& EntryNode::Note(std::string_view event) {
  log::Record note;
  note.category = log::Category::kEntry;
  note.event = event;
  actions_.notes.push_back(std::move(note));
  return actions_.notes.back();
}

void EntryNode::NoteAttempt(const RequestRecord& record,
                            const ServiceDesk& desk,
                            const forwarding::Placement& placement,
                            Time now) {
  const forwarding::EndpointView view =
      desk.endpoints.Describe(record.endpoint, now);
  log::Record& note = Note("attempt");
  note.With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("route", record.kind.name)
      .With("service", record.service)
      .With("revision", fleet_revision_)
      .With("endpoint", record.endpoint)
      .With("number", record.attempts)
      .With("left_ms", ToMillis(record.deadline - now))
      .With("load", view.load)
      .With("slots", view.slots)
      .With("list_age_ms", ToMillis(now - session_.endpoints_at()));
  if (view.load_age)
    note.With("load_age_ms", ToMillis(*view.load_age));
  if (view.cold)
    note.With("cold", true);
  if (placement.object) {
    note.With("object", record.arrival.object);
    note.With("owner", placement.owner)
        .With("preferred", placement.owner == record.endpoint);
    if (placement.owner != record.endpoint && !placement.owner.empty()) {
      const forwarding::EndpointView owner =
          desk.endpoints.Describe(placement.owner, now);
      note.With("owner_load", owner.load)
          .With("owner_cold", owner.cold)
          .With("service_busy", owner.service_busy);
    }
  }
}

void EntryNode::NoteAttemptEnd(const RequestRecord& record,
                               forwarding::AttemptEnd end,
                               bool again,
                               Time now) {
  Note("attempt_failed")
      .With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("number", record.attempts)
      .With("end", forwarding::AttemptEndName(end))
      .With("took_ms", ToMillis(now - record.attempt_started))
      .With("again", again);
}

void EntryNode::NoteEnd(const RequestRecord& record,
                        const decltype(RequestAnswer::body)& body,
                        Time now) {
  const auto* refusal = std::get_if<RefuseRequest>(&body);
  log::Record& note =
      Note(refusal == nullptr ? "request_answered" : "request_refused");
  note.With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("route", record.kind.name)
      .With("attempts", record.attempts)
      .With("took_ms", ToMillis(now - record.arrived));
  if (refusal == nullptr)
    return;
  note.With("error", AnswerFor(refusal->error.kind).name)
      .With("detail", refusal->error.detail)
      .With("outcome", OutcomeName(refusal->outcome))
      .With("retry_after_ms", ToMillis(refusal->retry_after));
}

// For a request that was refused before it was admitted.
void EntryNode::NoteRefusal(const RequestArrived& arrival,
                            const RefuseRequest& refusal) {
  Note("request_refused")
      .With("request", arrival.request_id)
      .With("ticket", arrival.ticket)
      .With("host", arrival.host)
      .With("path", arrival.path)
      .With("revision", fleet_revision_)
      .With("attempts", 0)
      .With("error", AnswerFor(refusal.error.kind).name)
      .With("detail", refusal.error.detail)
      .With("outcome", OutcomeName(refusal.outcome))
      .With("retry_after_ms", ToMillis(refusal.retry_after));
}

// What is about to be taken over, against what is in use.
void EntryNode::NoteFleet(Time now) {
  const std::uint64_t revision = session_.fleet()->revision;
  if (revision != fleet_revision_) {
    Note("settings_in_force")
        .With("revision", revision)
        .With("before", fleet_revision_);
  }
  if (endpoint_changes_ != session_.endpoint_changes()) {
    Note("endpoints_updated")
        .With("version", session_.endpoints_version())
        .With("endpoints", session_.endpoints().size())
        .With("list_age_ms", ToMillis(now - session_.endpoints_at()));
  }
  if (members_used_ != session_.members_version()) {
    Note("members_updated")
        .With("version", session_.members_version())
        .With("members", session_.members().size());
  }
}

void EntryNode::NoteBeliefs(Time now) {
  for (auto& [name, desk] : desks_) {
    for (log::Record& note : desk.endpoints.TakeNotes()) {
      note.With("service", name);
      actions_.notes.push_back(std::move(note));
    }
  }
  const bool in_contact = session_.InContact(now);
  if (in_contact != std::exchange(was_in_contact_, in_contact)) {
    Note(in_contact ? "control_regained" : "control_lost")
        .With("leader", session_.leader())
        .With("revision", fleet_revision_);
  }
  if (session_.leader() != noted_leader_) {
    noted_leader_ = session_.leader();
    Note("leader_followed").With("leader", noted_leader_);
  }
}

}  // namespace jacinth::entry
