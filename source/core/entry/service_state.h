#pragma once

#include <map>
#include <string>

#include "core/admission/admission_queue.h"
#include "core/admission/return_schedule.h"
#include "core/common/time.h"
#include "core/forwarding/demand_meter.h"
#include "core/forwarding/endpoint_table.h"
#include "core/forwarding/retry_budget.h"
#include "core/settings/service_settings.h"

namespace jacinth::entry {

/// State of one service on an entry instance.
struct ServiceState {
  settings::ServiceSettings settings;
  admission::AdmissionQueue queue;
  forwarding::EndpointTable endpoints;
  forwarding::RetryBudget retries;
  admission::ReturnSchedule returns;
  /// Requests that were sent to endpoints.
  forwarding::DemandMeter sent;
  /// Moving average of the time to a complete answer, by request kind.
  std::map<std::string, Duration> average_answer_times;
  /// Moving average of the size of answers in bytes, by request kind.
  std::map<std::string, double> average_answer_bytes;
  /// True if the service was removed from the settings. Its state is kept for
  /// the requests that have not ended.
  bool removed = false;
  /// True if queued requests may be sent or refused now; see
  /// EntryNode::RunDueWork().
  bool dispatch_due = false;

  /// Applies new settings.
  void Update(settings::ServiceSettings service, Time now);

  /// Adds the time to a complete answer to the average of its kind.
  void RecordAnswerTime(const std::string& kind, Duration time);

  /// Adds the size of an answer to the average of its kind.
  void RecordAnswerBytes(const std::string& kind, double bytes);

  /// Returns the average size of answers of a kind; 0 if there was none yet.
  double ExpectedAnswerBytes(const std::string& kind) const;

  /// Returns true if an attempt started now is expected to end before
  /// `deadline`, by the average answer time of its kind.
  bool CanFinishByDeadline(const std::string& kind,
                           Time deadline,
                           Time now) const;

  /// Removes all endpoints, so that the service gets no new work, after it was
  /// removed from the settings.
  void MarkRemoved(Time now);
};

}  // namespace jacinth::entry
