#include <algorithm>
#include <vector>

#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

/// Number of heartbeat intervals after which all other entries have received
/// the draining state of this instance.
constexpr int kDrainAnnounceHeartbeats = 4;

}  // namespace

void EntryNode::On(const StopRequested& /*event*/, Time now) {
  if (stop_)
    return;
  stop_ = StopSchedule::Create(
      now, LongestTtl() + kDrainAnnounceHeartbeats * options_.heartbeat,
      options_.limits.stop_grace, options_.drain_limit);
  AddLogRecord("stop_scheduled")
      .With("requests", requests_.size())
      .With("intake_ms", ToMillis(stop_->intake_end - now))
      .With("exchanges_ms", ToMillis(stop_->exchanges_end - now))
      .With("end_ms", ToMillis(stop_->end - now));
  session_.SetDraining();
  PublishSnapshot();
}

void EntryNode::AdvanceStop(Time now) {
  if (!stop_ || now < stop_->intake_end)
    return;
  if (now >= stop_->exchanges_end)
    EndRequestsAtStop(now);
  const bool idle = requests_.empty() && claim_client_.unconfirmed() == 0;
  if (!idle && now < stop_->end)
    return;
  actions_.stopped = true;
  actions_.answers_until = stop_->end;
}

// Answers the requests that are still under way, as their connections would
// otherwise be closed without an answer when the process ends.
void EntryNode::EndRequestsAtStop(Time now) {
  std::vector<RequestTicket> open;
  open.reserve(requests_.size());
  for (const auto& [ticket, record] : requests_)
    open.push_back(ticket);
  for (const RequestTicket ticket : open) {
    RequestRecord& record = requests_.at(ticket);
    if (record.phase == RequestPhase::kWaiting)
      services_.at(record.service).queue.Remove(ticket);
    record.may_have_run |= CancelExchange(record, now);
    Refuse(ticket,
           {record.may_have_run ? ErrorKind::kTimeout : ErrorKind::kDraining,
            "this instance stops before the request has ended"},
           now);
  }
}

// Returns true unless a planned stop is expected to cut the request.
bool EntryNode::CanEndBeforeStop(const RequestRecord& record,
                                 const ServiceState& service_state,
                                 Time now) const {
  if (!stop_)
    return true;
  const Time end = stop_->EndpointDeadline();
  return record.deadline <= end ||
         service_state.CanFinishByDeadline(record.kind.name, end, now);
}

Duration EntryNode::LongestTtl() const {
  Duration longest{0};
  if (session_.fleet() == nullptr)
    return longest;
  for (const auto& [name, service] : session_.fleet()->services) {
    longest = std::max(longest, service.ttl);
    for (const auto& [region, ttl] : service.region_ttl)
      longest = std::max(longest, ttl);
  }
  return longest;
}

}  // namespace jacinth::entry
