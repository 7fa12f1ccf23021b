#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "core/entry/entry_node.h"

namespace jacinth::entry {

// Returns the route that matches the request by the settings in force; null for
// a request to a service.
const settings::RouteSettings* EntryNode::RouteOf(
    const RequestRecord& record) const {
  return record.arrival.host.empty()
             ? nullptr
             : session_.fleet()->FindRoute(record.arrival.host,
                                           record.arrival.path);
}

bool EntryNode::LeadsTo(const settings::RouteSettings& route,
                        const std::string& service) {
  return std::any_of(route.shares.begin(), route.shares.end(),
                     [&](const settings::RouteShare& share) {
                       return share.service == service;
                     });
}

// Returns true if the route of the request leads to other services by now, or
// did before it was removed. Otherwise, a request whose route is gone is
// completed by its old one, as nothing newer says how to serve it. Claims
// belong to a service.
bool EntryNode::HasMoved(const RequestRecord& record) const {
  if (record.revision == session_.fleet()->revision || !record.claim_id.empty())
    return false;
  const settings::RouteSettings* route = RouteOf(record);
  return route == nullptr ? record.route_moved
                          : !LeadsTo(*route, record.service);
}

// Moves the queued requests whose routes lead to other services by now, and
// ends those that an endpoint may have run. All are taken out before the first
// one is admitted anew, so that no list of tickets is held across that.
void EntryNode::MoveWaitingRequests(Time now) {
  std::vector<RequestTicket> tickets;
  for (auto& [ticket, record] : requests_) {
    record.route_moved = HasMoved(record);
    if (record.route_moved && record.phase == RequestPhase::kWaiting)
      tickets.push_back(ticket);
  }
  std::vector<RequestRecord> moved;
  for (const RequestTicket ticket : tickets) {
    const RequestRecord& record = requests_.at(ticket);
    services_.at(record.service).queue.Remove(ticket);
    if (!record.may_have_run) {
      moved.push_back(TakeRequest(ticket, now));
      continue;
    }
    Refuse(ticket,
           {ErrorKind::kEndpointFailed,
            "an attempt was lost, and the route leads to another service now"},
           now);
  }
  for (RequestRecord& record : moved)
    MoveRequest(std::move(record), now);
}

// Removes a request, which is neither queued nor at an endpoint, and releases
// what was reserved for it.
RequestRecord EntryNode::TakeRequest(RequestTicket ticket, Time now) {
  RequestRecord record = std::move(requests_.extract(ticket).mapped());
  services_.at(record.service)
      .queue.Release(record.kind.name, record.phase == RequestPhase::kRunning);
  ceilings_.Release(record.kind.rank);
  SettleBandwidth(record, now);
  return record;
}

// Admits a request that was taken, and hasn't run, anew to a service of its
// route.
void EntryNode::MoveRequest(RequestRecord record, Time now) {
  const RequestTicket ticket = record.arrival.ticket;
  auto resolved = Resolve(record.arrival);
  std::optional<Error> error;
  if (resolved)
    error = CheckService(*resolved, now);
  else
    error = resolved.error();
  if (error) {
    RefuseRequest refusal{*error, Outcome::kNotRun, RetryAfter(record)};
    LogRequestEnd(record, refusal, now);
    actions_.answers.push_back({ticket, std::move(refusal), record.kind.rank});
    return;
  }
  AddLogRecord("request_moved")
      .With("request", record.arrival.request_id)
      .With("ticket", ticket)
      .With("service", resolved->service)
      .With("before", record.service)
      .With("revision", resolved->revision);
  resolved->suspect_id = record.suspect_id;
  resolved->arrived = record.arrived;
  resolved->deadline = std::min(
      record.deadline, record.arrived + resolved->kind.request_timeout);
  resolved->wait_until = std::min(record.wait_until, resolved->deadline);
  resolved->attempts = record.attempts;
  resolved->tried_entries = std::move(record.tried_entries);
  ServiceState& service_state = services_.at(resolved->service);
  Admit(std::move(*resolved), service_state, now);
}

}  // namespace jacinth::entry
