#include <string>
#include <utility>
#include <vector>

#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : ",") + name;
  return joined;
}

}  // namespace

log::Record& EntryNode::AddLogRecord(std::string_view event) {
  log::Record log_record;
  log_record.category = log::Category::kEntry;
  log_record.event = event;
  actions_.log_records.push_back(std::move(log_record));
  return actions_.log_records.back();
}

void EntryNode::LogPreventedExchange(const RequestRecord& record) {
  log::Record& log_record = AddLogRecord("exchange_prevented");
  log_record.level = log::Level::kError;
  log_record.With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("service", record.service)
      .With("endpoint", record.endpoint)
      .With("entry", record.relay_entry);
}

void EntryNode::LogAttemptStart(
    const RequestRecord& record,
    const ServiceState& service_state,
    const forwarding::EndpointCriteria& endpoint_criteria,
    Time now) {
  const forwarding::EndpointView view =
      service_state.endpoints.Describe(record.endpoint, now);
  log::Record& log_record = AddLogRecord("attempt");
  log_record.With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("route", record.kind.name)
      .With("service", record.service)
      .With("path", record.arrival.path)
      .With("revision", fleet_revision_)
      .With("newest_revision", session_.newest_revision())
      .With("settings_age_ms", ToMillis(now - session_.settings_confirmed_at()))
      .With("endpoint", record.endpoint)
      .With("number", record.attempts)
      .With("left_ms", ToMillis(record.deadline - now))
      .With("load", view.load)
      .With("slots", view.slots)
      .With("list_age_ms", ToMillis(now - session_.endpoints_confirmed_at()))
      .With("drains_age_ms", ToMillis(now - session_.drains_confirmed_at()));
  if (!endpoint_criteria.regions.empty()) {
    log_record.With("regions", JoinNames(endpoint_criteria.regions))
        .With("endpoint_region",
              service_state.endpoints.Find(record.endpoint)->region);
  }
  if (record.arrival.relayed)
    log_record.With("relayed", true);
  if (view.load_age)
    log_record.With("load_age_ms", ToMillis(*view.load_age));
  if (view.cold)
    log_record.With("cold", true);
  if (endpoint_criteria.slice_hash) {
    log_record.With("object", record.arrival.object);
    log_record.With("owner", endpoint_criteria.owner)
        .With("preferred", endpoint_criteria.owner == record.endpoint);
    if (endpoint_criteria.owner != record.endpoint &&
        !endpoint_criteria.owner.empty()) {
      const forwarding::EndpointView owner =
          service_state.endpoints.Describe(endpoint_criteria.owner, now);
      log_record.With("owner_load", owner.load)
          .With("owner_cold", owner.cold)
          .With("service_busy", owner.service_busy);
    }
  }
}

void EntryNode::LogAttemptEnd(const RequestRecord& record,
                              forwarding::AttemptEnd end,
                              bool will_retry,
                              Time now) {
  AddLogRecord("attempt_failed")
      .With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("number", record.attempts)
      .With("end", forwarding::AttemptEndName(end))
      .With("took_ms", ToMillis(now - record.attempt_started))
      .With("again", will_retry);
}

void EntryNode::LogRequestEnd(const RequestRecord& record,
                              const decltype(RequestAnswer::body)& body,
                              Time now) {
  const auto* refusal = std::get_if<RefuseRequest>(&body);
  log::Record& log_record =
      AddLogRecord(refusal == nullptr ? "request_answered" : "request_refused");
  log_record.With("request", record.arrival.request_id)
      .With("ticket", record.arrival.ticket)
      .With("route", record.kind.name)
      .With("attempts", record.attempts)
      .With("took_ms", ToMillis(now - record.arrived));
  if (refusal == nullptr)
    return;
  log_record.With("error", GetErrorKindInfo(refusal->error.kind).name)
      .With("detail", refusal->error.detail)
      .With("outcome", OutcomeName(refusal->outcome))
      .With("retry_after_ms", ToMillis(refusal->retry_after));
}

// Logs the refusal of a request that was not admitted.
void EntryNode::LogRefusal(const RequestArrived& arrival,
                           const RefuseRequest& refusal) {
  AddLogRecord("request_refused")
      .With("request", arrival.request_id)
      .With("ticket", arrival.ticket)
      .With("host", arrival.host)
      .With("path", arrival.path)
      .With("revision", fleet_revision_)
      .With("newest_revision", session_.newest_revision())
      .With("attempts", 0)
      .With("error", GetErrorKindInfo(refusal.error.kind).name)
      .With("detail", refusal.error.detail)
      .With("outcome", OutcomeName(refusal.outcome))
      .With("retry_after_ms", ToMillis(refusal.retry_after));
}

// Logs the updates that are about to be applied, by comparison with the state
// in use.
void EntryNode::LogUpdates(Time now) {
  const std::uint64_t revision = session_.fleet()->revision;
  if (revision != fleet_revision_) {
    AddLogRecord("settings_in_force")
        .With("revision", revision)
        .With("before", fleet_revision_);
  }
  if (endpoint_changes_ != session_.endpoint_changes()) {
    AddLogRecord("endpoints_updated")
        .With("version", session_.endpoints_version())
        .With("endpoints", session_.endpoints().size())
        .With("list_age_ms", ToMillis(now - session_.endpoints_confirmed_at()));
  }
  if (members_version_ != session_.members_version()) {
    AddLogRecord("members_updated")
        .With("version", session_.members_version())
        .With("members", session_.members().size());
  }
}

void EntryNode::LogStateChanges(Time now) {
  for (auto& [name, service_state] : services_) {
    for (log::Record& log_record : service_state.endpoints.TakeLogRecords()) {
      log_record.With("service", name);
      actions_.log_records.push_back(std::move(log_record));
    }
  }
  for (log::Record& log_record : quarantine_.TakeLogRecords())
    actions_.log_records.push_back(std::move(log_record));
  const bool in_contact = session_.InContact(now);
  if (in_contact != std::exchange(was_in_contact_, in_contact)) {
    AddLogRecord(in_contact ? "control_regained" : "control_lost")
        .With("leader", session_.leader())
        .With("revision", fleet_revision_);
  }
  if (session_.leader() != logged_leader_) {
    logged_leader_ = session_.leader();
    AddLogRecord("leader_followed").With("leader", logged_leader_);
  }
}

}  // namespace jacinth::entry
