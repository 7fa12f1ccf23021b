#include <algorithm>
#include <utility>

#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

/// Versions of lists from the leader hold its term in the upper 32 bits.
constexpr unsigned kTermShift = 32;
/// Divisor of the remaining time that gives the longest wait asked of a refused
/// caller, which leaves it time for the request and one more attempt.
constexpr int kLongestReturnDivisor = 3;
/// Longest wait of the endpoints that a refused caller is told.
constexpr Duration kMaxWaitStated = 30s;

Error RateLimitError(const std::string& service) {
  return {ErrorKind::kOverloaded,
          "the endpoints of " + service +
              " take no request in time: their rate limits are used up, or "
              "they asked to wait"};
}

}  // namespace

void EntryNode::OnRateLimitNotice(const RequestRecord& record,
                                  ServiceState& service_state,
                                  const forwarding::RateLimitNotice& notice,
                                  Time now) {
  const bool changed =
      service_state.endpoints.OnRateLimitNotice(record.endpoint, notice, now);
  if (changed)
    session_.ExpediteHeartbeat(now);
}

// Applies the leader's shares of rate limits.
void EntryNode::ApplyRateShares(const protocol::HeartbeatReply& reply,
                                Time now) {
  const std::uint64_t version = session_.rate_shares().version;
  if (version == 0 || reply.rate_shares.version != version)
    return;
  const bool new_shares = version != rate_shares_version_;
  rate_shares_version_ = version;
  for (auto& [name, service_state] : services_) {
    if (new_shares)
      service_state.endpoints.SetRateShares(RateSharesOf(name), now);
    service_state.endpoints.OnRateLimitReportsReceived(reply.sequence, now);
    service_state.dispatch_due = true;
  }
}

std::map<std::string, protocol::RateShare> EntryNode::RateSharesOf(
    const std::string& service) const {
  std::map<std::string, protocol::RateShare> shares;
  for (const protocol::RateShare& share : session_.rate_shares().shares) {
    if (share.key.service == service)
      shares[share.key.endpoint] = share;
  }
  return shares;
}

std::vector<protocol::RateLimitReport> EntryNode::TakeRateLimitReports(
    std::uint64_t sequence,
    Time now) {
  // A new leader divides the limits that it knows of after one control timeout.
  const std::uint64_t term = std::max(
      session_.leader_term(), session_.rate_shares().version >> kTermShift);
  const bool new_leader = std::exchange(reported_term_, term) != term;
  std::vector<protocol::RateLimitReport> reports;
  for (auto& [name, service_state] : services_) {
    if (new_leader)
      service_state.endpoints.RepeatRateLimitReports();
    for (protocol::RateLimitReport& report :
         service_state.endpoints.TakeRateLimitReports(sequence, now)) {
      report.key.service = name;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

// Refuses a request that the rate limits of all endpoints keep out for longer
// than it may wait. Returns false if it may be served.
bool EntryNode::RefuseBeyondRate(const RequestRecord& record,
                                 ServiceState& service_state,
                                 Time now) {
  const auto block = service_state.endpoints.FindRateBlock(now);
  if (!block)
    return false;
  // Less urgent requests that wait make room for this one.
  const auto ahead = static_cast<double>(
      service_state.queue.WaitingAtOrAbove(record.kind.rank));
  const std::chrono::duration<double> time_left =
      record.wait_until - block->until;
  const bool served_in_time = block->until <= record.wait_until &&
                              ahead <= time_left.count() * block->per_second;
  if (served_in_time)
    return false;
  service_state.endpoints.CountRefusedDemand(OwnerFor(record), now);
  RefuseRequest refusal{RateLimitError(record.service), Outcome::kNotRun,
                        ScheduleReturn(record, now)};
  LogRefusal(record.arrival, refusal);
  actions_.answers.push_back(
      {record.arrival.ticket, std::move(refusal), record.kind.rank});
  return true;
}

// Refuses the queued requests that the rate limits of all endpoints keep out
// for longer than they may wait. The limits may have been named after they
// arrived.
void EntryNode::RefuseWaitingBeyondRate(ServiceState& service_state, Time now) {
  if (service_state.queue.waiting() == 0)
    return;
  const auto block = service_state.endpoints.FindRateBlock(now);
  if (!block)
    return;
  for (const RequestTicket ticket :
       service_state.queue.TakeUnservable(block->until, block->per_second)) {
    const RequestRecord& record = requests_.at(ticket);
    service_state.endpoints.CountRefusedDemand(OwnerFor(record), now);
    Refuse(ticket, RateLimitError(record.service), now);
  }
}

// Returns the owner of the slice of the request's object; empty if there is
// none.
std::string EntryNode::OwnerFor(const RequestRecord& record) const {
  if (!record.kind.affinity || record.arrival.object.empty())
    return "";
  return session_.slices().OwnerOf(
      record.service, forwarding::SliceMap::SliceOf(record.arrival.object));
}

// Returns the time after which a refused caller may retry. The callers of a
// service whose endpoints have rate limits or asked to wait return one after
// the other, urgent ones first.
Duration EntryNode::ScheduleReturn(const RequestRecord& record, Time now) {
  Duration shortest = RetryAfter(record);
  ServiceState& service_state = services_.at(record.service);
  if (!service_state.endpoints.IsRateLimited() &&
      !service_state.endpoints.IsWaitAsked(now))
    return stop_ ? kReturnElsewhere : shortest;
  double per_second = service_state.sent.Rate(now);
  if (const auto block = service_state.endpoints.FindRateBlock(now)) {
    per_second = std::max(per_second, block->per_second);
    shortest = std::max(shortest, std::min(block->until - now, kMaxWaitStated));
  }
  return service_state.returns.Next(now, record.kind.rank, per_second, shortest,
                                    LongestReturn(record, now));
}

Duration EntryNode::LongestReturn(const RequestRecord& record, Time now) const {
  return (record.deadline - now) / kLongestReturnDivisor;
}

}  // namespace jacinth::entry
