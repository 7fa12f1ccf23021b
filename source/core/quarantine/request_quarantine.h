#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/log/record.h"
#include "core/protocol/suspect_request.h"
#include "core/quarantine/crash_history.h"
#include "core/quarantine/verdict.h"

namespace jacinth::quarantine {

/// An attempt that ended because the connection to the endpoint was lost.
struct LostAttempt {
  std::uint64_t fingerprint = 0;
  std::string service;
  std::string endpoint;
  /// Start time of the endpoint; see ListedEndpoint.
  std::int64_t started_ms = 0;
  Time sent{};
};

/// What one entry knows of requests that crash endpoints: the crashes that it
/// has seen, and the suspects that the leader has sent.
///
/// Without a leader, the entry's own crashes decide. An answer to a request
/// clears it at once.
class RequestQuarantine {
 public:
  Verdict Judge(std::uint64_t fingerprint) const;
  /// Returns the number of endpoints that crashed at the request one after the
  /// other.
  std::size_t CountCrashes(std::uint64_t fingerprint) const;

  void OnLost(const LostAttempt& attempt, Time now);

  /// Called when an endpoint has answered the request.
  void OnAnswer(std::uint64_t fingerprint, Time now);

  /// Returns true if reports have not been sent to a leader yet.
  bool has_news() const { return has_news_; }

  /// Applies the leader's list, from its reply to heartbeat `sequence`; 0 if
  /// the message is not a reply.
  void ApplyUpdate(const protocol::SuspectUpdate& update,
                   std::uint64_t sequence,
                   Time now);
  /// Version of the list that the entry holds.
  std::uint64_t version() const { return version_; }

  /// Returns the crashes to report with heartbeat `sequence`: those that no
  /// leader of the current term has received.
  std::vector<protocol::CrashReport> TakeReports(std::uint64_t sequence,
                                                 Time now);
  /// Returns the cleared requests to report with heartbeat `sequence`.
  std::vector<std::uint64_t> TakeAcquittals(std::uint64_t sequence, Time now);

  void Expire(Time now);

  std::size_t size() const { return records_.size(); }

  /// Removes and returns the log records of changes since the last call.
  std::vector<log::Record> TakeLogRecords() {
    return std::exchange(log_records_, {});
  }

 private:
  /// A message to the leader that is repeated until one has received it.
  struct Delivery {
    /// Heartbeat that it was last sent with; 0 if none.
    std::uint64_t sequence = 0;
    Time sent{};
    bool received = false;
  };
  struct Report {
    std::uint64_t fingerprint = 0;
    std::uint64_t endpoint = 0;
    Time sent{};
    Time ended{};
    Delivery delivery;
  };
  /// The crashes of a suspect of the leader's list.
  struct CountedCrashes {
    std::vector<std::uint64_t> endpoints;
    Time until{};
  };
  struct Acquittal {
    Time since{};
    Delivery delivery;
    /// What the leader's list says of the request. It counts if the acquittal
    /// is forgotten before the leader has got it.
    CountedCrashes withheld;
  };
  using Acquittals = std::map<std::uint64_t, Acquittal>;

  static void OnAnswered(Delivery& delivery, std::uint64_t sequence);
  static bool TakeTurn(Delivery& delivery, std::uint64_t sequence, Time now);
  void Count(std::uint64_t fingerprint, CountedCrashes crashes, Time now);
  Acquittals::iterator Forget(Acquittals::iterator acquittal, Time now);
  void MakeRoom();
  void LogVerdict(std::string_view event,
                  std::uint64_t fingerprint,
                  std::size_t crashes);

  std::unordered_map<std::uint64_t, CrashHistory> records_;
  std::deque<Report> reports_;
  Acquittals acquittals_;
  std::uint64_t version_ = 0;
  bool has_news_ = false;
  Time next_expiry_{};
  std::vector<log::Record> log_records_;
};

}  // namespace jacinth::quarantine
