#pragma once

#include <map>
#include <string>

#include "core/admission/admission_queue.h"
#include "core/common/time.h"
#include "core/forwarding/endpoint_table.h"
#include "core/forwarding/retry_budget.h"
#include "core/settings/service_settings.h"

namespace jacinth::entry {

/// What an entry instance keeps for one service.
struct ServiceState {
  settings::ServiceSettings settings;
  admission::AdmissionQueue queue;
  forwarding::EndpointTable endpoints;
  forwarding::RetryBudget retries;
  /// Usual time of a whole answer by kind, as a moving average.
  std::map<std::string, Duration> average_answer_times;
  /// The service was removed; the desk stays until its requests have ended.
  bool removed = false;

  /// Takes over new settings.
  void Update(const settings::ServiceSettings& service, Time now);

  /// Learns from an answer that took `time`.
  void RecordAnswerTime(const std::string& kind, Duration time);

  /// True if an attempt that starts now can be expected to end in time.
  bool CanFinishByDeadline(const std::string& kind,
                           Time deadline,
                           Time now) const;

  /// Stops new work after the service was removed from the settings.
  void MarkRemoved(Time now);
};

}  // namespace jacinth::entry
