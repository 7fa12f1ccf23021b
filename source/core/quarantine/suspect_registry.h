#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/clock_reading.h"
#include "core/common/time.h"
#include "core/log/record.h"
#include "core/protocol/suspect_request.h"
#include "core/quarantine/crash_history.h"
#include "core/quarantine/verdict.h"

namespace jacinth::quarantine {

/// The leader's join of the crashes that the entries report.
///
/// Suspects are recorded in the log, so that they outlive the leader. Single
/// crashes are not; entries repeat their reports to a new leader.
class SuspectRegistry {
 public:
  /// Starts a leader's term with the suspects recorded in the log.
  void Reset(const std::vector<protocol::SuspectRequest>& recorded,
             ClockReading clock);

  void OnReport(const protocol::CrashReport& report, Time now);
  /// An endpoint has answered the request.
  void OnAcquittal(std::uint64_t fingerprint);

  void Expire(Time now);

  /// Returns the suspects that have changed since the last call, to be recorded
  /// in the log.
  std::vector<protocol::SuspectRequest> TakeUnrecorded(ClockReading clock);

  /// Removes and returns the log records of changes since the last call.
  std::vector<log::Record> TakeLogRecords() {
    return std::exchange(log_records_, {});
  }

 private:
  struct Suspect {
    CrashHistory history;
    /// Number of crashes that the log holds.
    std::size_t recorded = 0;
  };

  void LogVerdict(std::string_view event,
                  std::uint64_t fingerprint,
                  std::size_t crashes);

  std::map<std::uint64_t, Suspect> suspects_;
  /// Requests with new crashes since the last TakeUnrecorded().
  std::set<std::uint64_t> changed_;
  /// Requests whose suspicion in the log must be withdrawn.
  std::vector<std::uint64_t> withdrawn_;
  Time next_expiry_{};
  bool logged_full_ = false;
  std::vector<log::Record> log_records_;
};

}  // namespace jacinth::quarantine
