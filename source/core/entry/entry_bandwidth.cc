#include <chrono>
#include <utility>

#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

/// Bytes of packet headers for one request in one direction of the link, on the
/// connections of the caller and of the endpoint together: six packets.
constexpr double kPacketHeaderBytes = 6 * 52;

}  // namespace

// Counts the bytes of a request that has arrived, whether or not it is served.
// What the link receives from the caller it sends to the endpoint, and what it
// receives from the endpoint it sends to the caller, so that both directions
// carry the same.
void EntryNode::CountArrival(const RequestArrived& event, Time now) {
  bandwidth_.Count(
      static_cast<double>(event.message_bytes) + kPacketHeaderBytes, now);
}

// Counts the expected answer of a request that is admitted.
void EntryNode::CountExpectedAnswer(RequestRecord& record,
                                    const ServiceState& service_state,
                                    Time now) {
  record.expected_answer_bytes =
      service_state.ExpectedAnswerBytes(record.kind.name);
  bandwidth_.Count(record.expected_answer_bytes, now);
  admitted_.Count(1, now);
}

// Replaces the expected bytes of a request that ends by those that its answers
// had.
void EntryNode::SettleBandwidth(const RequestRecord& record, Time now) {
  bandwidth_.Count(record.answer_bytes - record.expected_answer_bytes, now);
}

// Refuses a request that this instance's network link can't carry in time.
// Returns false if it can.
bool EntryNode::RefuseBeyondBandwidth(const RequestRecord& record, Time now) {
  if (bandwidth_.Allows(record.kind.rank, now))
    return false;
  const Duration return_after =
      bandwidth_returns_.Next(now, record.kind.rank, admitted_.Rate(now),
                              RetryAfter(record), LongestReturn(record, now));
  RefuseRequest refusal{
      {ErrorKind::kOverloaded, "the bandwidth of this instance is used up"},
      Outcome::kNotRun,
      return_after};
  LogRefusal(record.arrival, refusal);
  actions_.answers.push_back(
      {record.arrival.ticket, std::move(refusal), record.kind.rank});
  return true;
}

}  // namespace jacinth::entry
