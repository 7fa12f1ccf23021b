#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/forwarding/attempt.h"
#include "core/forwarding/endpoint_criteria.h"
#include "core/forwarding/endpoint_load.h"
#include "core/forwarding/endpoint_memory.h"
#include "core/forwarding/endpoint_notices.h"
#include "core/forwarding/endpoint_process.h"
#include "core/forwarding/endpoint_rate_limit.h"
#include "core/forwarding/rate_block.h"
#include "core/forwarding/rate_limit_notice.h"
#include "core/forwarding/region_selector.h"
#include "core/forwarding/sender_selection.h"
#include "core/forwarding/warmup_gate.h"
#include "core/log/record.h"
#include "core/settings/service_settings.h"

namespace jacinth::forwarding {

/// Result of a health probe.
enum class ProbeEnd {
  kHealthy,
  /// The endpoint is up but accepts no new requests.
  kDraining,
  kFailed,
};

/// State of an endpoint as estimated by this entry, for log records.
struct EndpointView {
  /// Estimated number of requests at the endpoint.
  double load = 0;
  /// Age of the endpoint's last load report; empty if it never sent one.
  std::optional<Duration> load_age;
  int slots = 0;
  bool cold = false;
  /// Fraction of the service's slots in use.
  double service_busy = 0;
};

/// Tracks the load, health and warm-up of the endpoints of one service on one
/// entry instance, and selects an endpoint for each attempt.
class EndpointTable {
 public:
  /// Applies new settings. Keeps the state of the endpoints that remain.
  void Update(const settings::ServiceSettings& service, Time now);

  /// Sets which entries send requests to cold endpoints.
  void SetWarmupGate(WarmupGate gate) { warmup_gate_ = std::move(gate); }

  /// Returns the number of slices that an endpoint owns.
  using OwnedSliceCounter = std::function<int(const std::string& endpoint)>;

  /// Selects the endpoint for an attempt, reserves a slot there and returns the
  /// endpoint's name. Returns nullopt if no endpoint has capacity.
  ///
  /// If there is an object, selects the owner of its slice, or else the first
  /// endpoint with capacity in the object's rendezvous hashing order, in which
  /// the endpoints of the region that the object is placed in come first.
  /// Without an object, selects the less loaded of two random endpoints, in the
  /// home region if any endpoint there has capacity.
  std::optional<std::string> ReserveSlot(
      const EndpointCriteria& endpoint_criteria,
      Time now);

  /// Proposes an owner for a slice that has none: of the first two endpoints in
  /// the object's order, the one that owns fewer slices. Returns an empty
  /// string if no endpoint can receive new requests.
  std::string ProposeOwner(const EndpointCriteria& endpoint_criteria,
                           const OwnedSliceCounter& count_owned,
                           Time now) const;

  /// Returns true if the endpoint can receive new requests, whether or not it
  /// has capacity at the moment.
  bool CanReceiveRequests(const std::string& name) const;

  /// Releases the slot of an attempt, and updates the endpoint's state
  /// according to how the attempt ended.
  void OnAttemptEnd(const std::string& name,
                    AttemptEnd end,
                    const std::optional<LoadReport>& load,
                    Time now);

  /// Sets the entries that share the endpoints' rate limits.
  void SetSenders(SenderSelection senders) { senders_ = std::move(senders); }

  /// Applies what an answer of the endpoint says about its rate limit. Returns
  /// true if the limit has changed.
  bool OnRateLimitNotice(const std::string& name,
                         const RateLimitNotice& notice,
                         Time now);

  /// Applies this entry's shares of rate limits, by endpoint. Endpoints without
  /// a share have no limit as far as the leader knows.
  void SetRateShares(const std::map<std::string, protocol::RateShare>& shares,
                     Time now);

  /// Returns the rate limits to report with the heartbeat `sequence`.
  std::vector<protocol::RateLimitReport> TakeRateLimitReports(
      std::uint64_t sequence,
      Time now);
  /// Reports all rate limits anew, to a new leader.
  void RepeatRateLimitReports();
  /// Called when a leader has received the reports up to the heartbeat
  /// `sequence` and SetRateShares() has applied the result.
  void OnRateLimitReportsReceived(std::uint64_t sequence, Time now);

  /// Counts a request that was not sent to the owner of its slice because of
  /// rate limits; to any endpoint, if the owner can't receive requests or
  /// `owner` is empty.
  void CountRefusedDemand(const std::string& owner, Time now);

  /// Applies what an answer of the endpoint's process says about it, before
  /// OnAttemptEnd() or OnProbeEnd() is called for that answer.
  /// Returns true if the endpoint has not said before that it leaves.
  bool OnNotices(const std::string& name,
                 const EndpointProcess& process,
                 const EndpointNotices& notices,
                 Time now);
  /// Returns true if the listed process of the name has said that it leaves.
  bool IsLeaving(const std::string& name) const;
  /// Returns the process of the name that is listed, or an empty one.
  EndpointProcess ProcessOf(const std::string& name) const;
  /// Returns true if the endpoint accepts health probes now: it has not asked
  /// to wait and does not leave.
  bool AcceptsProbes(const std::string& name, Time now) const;
  /// Returns how much longer the endpoint wants no requests.
  Duration RemainingWait(const std::string& name, Time now) const;
  /// Returns true if any endpoint that could receive requests has asked to
  /// wait, or has done so a moment ago.
  bool IsWaitAsked(Time now) const;

  /// Returns true if any endpoint that can receive new requests has a limit.
  bool IsRateLimited() const;
  /// Returns true if the endpoint can receive requests, but its rate limit or
  /// a wait allows none now.
  bool IsRateBlocked(const std::string& name, Time now) const;
  /// Returns a value if every endpoint that can receive new requests allows
  /// none now, because of its rate limit or as it has asked to wait.
  std::optional<RateBlock> FindRateBlock(Time now) const;

  /// Returns the names of the endpoints whose probe is due, and marks them as
  /// being probed.
  std::vector<std::string> DueProbes(Time now);
  void OnProbeEnd(const std::string& name, ProbeEnd end, Time now);

  /// Forgets the failures of all endpoints, which turned out to have another
  /// cause.
  void ForgiveFailures();

  EndpointView Describe(const std::string& name, Time now) const;

  /// Removes and returns the log records of state changes since the last call.
  std::vector<log::Record> TakeLogRecords() {
    return std::exchange(log_records_, {});
  }

  /// Returns the settings of an endpoint, or nullptr if there is none of that
  /// name.
  const settings::EndpointSettings* Find(const std::string& name) const;

  /// Returns how many requests the endpoints that can receive new requests can
  /// hold at once, running or queued.
  int UsableSlots() const;
  /// Returns true if ReserveSlot() would find an endpoint for a first attempt.
  bool HasFreeSlot(Time now) const;
  int inflight() const { return inflight_; }

 private:
  struct EndpointState {
    settings::EndpointSettings settings;
    EndpointLoad load;
    /// Concurrency limit of this entry for an endpoint that sends no load
    /// reports. Decreases with refusals, as other entries use the endpoint's
    /// slots, too, and increases with answers.
    double limit = 0;
    /// Time until which no requests are sent to the endpoint after a refusal.
    Time refused_until{};
    /// Number of failures that count towards the next ejection.
    int failures = 0;
    /// Number of ejections since the endpoint's last answer.
    int ejections = 0;
    std::optional<Time> ejected_until;
    bool draining = false;
    /// True if another endpoint answers at the address.
    bool misdirected = false;
    bool probing = false;
    Time probe_due{};
    Time probe_started{};
    Time cold_until{};
    Time last_cold_request{};
    Time last_answer{};
    EndpointRateLimit rate_limit;
    /// Copies of what `memory_` holds of the listed process.
    bool leaving = false;
    WaitGate wait;
  };

  bool IsUsable(const EndpointState& state) const;
  bool HasCapacity(const EndpointState& state, Time now) const;
  static bool HasIdleSlot(const EndpointState& state, Time now);
  static bool HasFreshReport(const EndpointState& state, Time now);
  bool HasReachedWaitLimit(const EndpointState& state, Time now) const;
  bool WarmupAllows(const EndpointState& state, Time now) const;
  double CapacityOf(const EndpointState& state) const;
  bool IsEligible(const std::string& name,
                  const EndpointState& state,
                  const EndpointCriteria& endpoint_criteria,
                  Time now) const;
  static bool IsRegionAllowed(const EndpointState& state,
                              const EndpointCriteria& endpoint_criteria);
  const std::string* ChooseByObject(const EndpointCriteria& endpoint_criteria,
                                    Time now) const;
  RegionSelector MakeRegionSelector() const;
  const std::string* ChooseByLoad(const EndpointCriteria& endpoint_criteria,
                                  Time now) const;
  void ApplyMemory(EndpointState& state) const;
  void EndLeaving(EndpointState& state);
  bool AcceptsProbes(const EndpointState& state, Time now) const;
  void MarkCold(EndpointState& state, Time now) const;
  static std::string_view SoftFailureReason(
      const EndpointState& state,
      AttemptEnd end,
      const std::optional<LoadReport>& load,
      Time now);
  void UpdateBusyShare(const LoadReport& load);
  void OnRefusal(EndpointState& state, Time now) const;
  static void OnAnswer(EndpointState& state);
  void OnFailure(EndpointState& state, std::string_view why, Time now);
  log::Record& AddLogRecord(std::string_view event, const EndpointState& state);
  std::size_t EjectedCount() const;

  std::map<std::string, EndpointState> endpoints_;
  EndpointMemory memory_;
  WarmupGate warmup_gate_;
  SenderSelection senders_;
  int probe_failures_ = 1;
  /// Zero if only ejected endpoints are probed.
  Duration probe_interval_{0};
  int queue_percent_ = 100;
  int wait_percent_ = 100;
  Duration warmup_{0};
  bool has_endpoint_list_ = false;
  int inflight_ = 0;
  /// Moving average of the fraction of slots in use, from the load reports in
  /// answers to this entry's requests.
  double busy_share_ = 0;
  /// Moving average of the fraction of attempts that ended in soft failures.
  double soft_failure_share_ = 0;
  std::vector<log::Record> log_records_;
};

}  // namespace jacinth::forwarding
