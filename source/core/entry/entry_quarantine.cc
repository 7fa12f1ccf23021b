#include <utility>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"
#include "core/quarantine/fingerprint.h"

namespace jacinth::entry {

using quarantine::Verdict;

// Returns the fingerprint of a request by which crashes are counted. It is the
// same for a resend at any entry.
std::uint64_t EntryNode::SuspectId(const RequestArrived& event) {
  return Hash64(event.host + "\n" + event.service + "\n" + event.caller,
                event.fingerprint);
}

// Returns the refusal of a request that crashes the endpoints that run it.
std::optional<Error> EntryNode::CheckQuarantine(
    const RequestRecord& record) const {
  if (quarantine_.Judge(record.suspect_id) != Verdict::kBlocked)
    return std::nullopt;
  return Error{ErrorKind::kRequestQuarantined,
               "endpoints crashed when they ran request " +
                   quarantine::FormatFingerprint(record.suspect_id)};
}

// Counts an attempt that may have crashed its endpoint, or clears the request
// if the endpoint has answered it.
void EntryNode::UpdateQuarantine(const RequestRecord& record,
                                 forwarding::AttemptEnd end,
                                 Time now) {
  const bool answered = forwarding::OutcomeOf(end) == Outcome::kRan;
  if (answered)
    quarantine_.OnAnswer(record.suspect_id, now);
  if (end == forwarding::AttemptEnd::kConnectionLost) {
    // The list may show a later process by now.
    const std::int64_t started_ms = record.process.started_ms;
    quarantine_.OnLost({record.suspect_id, record.service, record.endpoint,
                        started_ms, record.attempt_started},
                       now);
    AddLogRecord("endpoint_lost_request")
        .With("request", record.arrival.request_id)
        .With("fingerprint", quarantine::FormatFingerprint(record.suspect_id))
        .With("endpoint", record.endpoint)
        .With("started_ms", started_ms)
        .With("took_ms", ToMillis(now - record.attempt_started))
        .With("crashes", quarantine_.CountCrashes(record.suspect_id));
  }
  if (quarantine_.has_news())
    session_.ExpediteHeartbeat(now);
}

void EntryNode::AddQuarantineReports(protocol::Heartbeat& heartbeat, Time now) {
  quarantine_.Expire(now);
  heartbeat.suspects_version = quarantine_.version();
  heartbeat.takes_suspect_changes = true;
  heartbeat.crashes = quarantine_.TakeReports(heartbeat.sequence, now);
  heartbeat.acquitted = quarantine_.TakeAcquittals(heartbeat.sequence, now);
}

void EntryNode::ApplySuspects(const protocol::HeartbeatReply& reply, Time now) {
  if (reply.leader)
    quarantine_.ApplyUpdate(reply.suspects, reply.sequence, now);
}

}  // namespace jacinth::entry
