#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/forwarding/demand_meter.h"
#include "core/forwarding/rate_gate.h"
#include "core/forwarding/rate_limit_notice.h"
#include "core/forwarding/sender_selection.h"
#include "core/protocol/rate_limit.h"

namespace jacinth::forwarding {

/// What this entry knows of the rate limit of one endpoint, and the part of it
/// that the entry may use.
///
/// The limit that the endpoint named applies at once. The leader divides it
/// among the entries; until it has, each entry uses a part that keeps the limit
/// if all entries do the same.
class EndpointRateLimit {
 public:
  /// Applies what an answer of the endpoint says. Returns true if the limit
  /// named to this entry has changed.
  bool OnNotice(const RateLimitNotice& notice,
                const SenderSelection& senders,
                const std::string& endpoint,
                Time now);

  /// Sets the share that the leader has given to this entry; nullopt if the
  /// leader knows of no limit.
  void SetShare(const std::optional<protocol::RateShare>& share,
                const SenderSelection& senders,
                const std::string& endpoint,
                Time now);

  /// Forgets the named limit if a leader without a limit for the endpoint has
  /// received the report of it in the heartbeat `sequence` or earlier. Returns
  /// true if the limit is forgotten.
  bool OnReportsRejected(std::uint64_t sequence, Time now);

  /// Makes the next call of TakeReport() report everything, to a new leader.
  void RepeatReport() { reported_in_.reset(); }

  /// Returns the report to send with the heartbeat `sequence`, if one is due.
  /// Its key and start time are left to the caller.
  std::optional<protocol::RateLimitReport> TakeReport(std::uint64_t sequence,
                                                      Time now);

  /// Counts a request, or part of one, that was sent or would have been.
  void CountDemand(double requests, Time now) {
    demand_.Count(requests, now);
    has_new_demand_ = true;
  }
  void OnSent(Time now) { gate_.OnSent(now); }

  const RateGate& gate() const { return gate_; }

 private:
  void UpdateRate(const SenderSelection& senders,
                  const std::string& endpoint,
                  Time now);

  /// Limit in the endpoint's last answer.
  std::optional<double> named_;
  /// True if the endpoint has ever named a limit to this entry.
  bool was_told_ = false;
  std::optional<Time> answered_at_;
  std::optional<protocol::RateShare> share_;
  RateGate gate_;
  DemandMeter demand_;
  /// True if there was demand since the last report.
  bool has_new_demand_ = false;
  /// Sequence number of the heartbeat with the last report; empty if something
  /// new must be reported.
  std::optional<std::uint64_t> reported_in_;
  Time reported_at_{};
};

}  // namespace jacinth::forwarding
