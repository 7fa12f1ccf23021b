#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/admission/bandwidth_budget.h"
#include "core/admission/rank_ceilings.h"
#include "core/admission/return_schedule.h"
#include "core/common/error.h"
#include "core/common/time.h"
#include "core/entry/claim_client.h"
#include "core/entry/control_session.h"
#include "core/entry/entry_actions.h"
#include "core/entry/entry_event.h"
#include "core/entry/request_record.h"
#include "core/entry/service_state.h"
#include "core/entry/stop_schedule.h"
#include "core/entry/weighted_round_robin.h"
#include "core/forwarding/demand_meter.h"
#include "core/forwarding/link_monitor.h"
#include "core/forwarding/sender_history.h"
#include "core/quarantine/request_quarantine.h"
#include "core/settings/fleet_limits.h"
#include "core/steering/absent_entries.h"

namespace jacinth::entry {

/// Fixed parameters of an entry node.
struct EntryOptions {
  protocol::EntryStatus self;
  Duration heartbeat{0};
  /// Time without contact with the control role after which the instance omits
  /// itself from look-up answers.
  Duration control_timeout{0};
  /// Maximum time to wait for requests in flight during a planned stop.
  Duration drain_limit{0};
  /// Maximum number of requests held at once.
  int max_requests = 0;
  /// Bandwidth of the network link in each direction, in bytes per second; 0 if
  /// requests are not limited by it.
  double bandwidth = 0;
  /// Limits that apply to all entry instances together.
  settings::FleetLimits limits;
  /// Region of each failure domain; the platform's list gives only the failure
  /// domain of an endpoint.
  std::map<std::string, std::string> failure_domain_regions;
  /// True if this instance can read the endpoint list from the platform.
  bool can_list_endpoints = false;
  /// Instances to contact while the leader is unknown.
  std::vector<std::string> contacts;
};

struct ServiceParts;

/// The entry role of one instance, as a deterministic state machine.
///
/// Owns no socket, thread or clock: the host passes each event with the current
/// time to Step() and carries out the returned actions.
class EntryNode {
 public:
  explicit EntryNode(EntryOptions options);

  EntryActions Step(const EntryEvent& event, Time now);

  /// Returns true if the settings in force still let the request go to the
  /// endpoint or entry that it was last meant for. The host asks before bytes
  /// leave on a new connection, which may have taken long to open.
  bool MaySend(RequestTicket ticket) const;

  std::size_t active_requests() const { return requests_.size(); }
  const ControlSession& session() const { return session_; }

 private:
  friend class EntryNodePeer;

  // Messages, timers and settings.
  void On(const MessageReceived& event, Time now);
  void On(const Tick& event, Time now);
  void On(const ProbeEnded& event, Time now);
  void On(const StopRequested& event, Time now);
  void On(const EndpointsListed& event, Time now);
  void On(const ContactsChanged& event, Time now);
  void SendHeartbeat(const protocol::Heartbeat& heartbeat, Time now);
  void AskForSettings(Time now);
  void MaybeListEndpoints(Time now);
  /// Returns true until the first endpoint list is known.
  bool AwaitsEndpoints() const;
  void AnnounceIsolation(Time now);
  void ApplyFleetSettings(Time now);
  settings::ServiceSettings BuildServiceSettings(
      const settings::ServiceSettings& service,
      const ServiceParts& parts,
      Time now) const;
  settings::EndpointSettings BuildEndpointSettings(
      const protocol::ListedEndpoint& descriptor,
      Time now) const;
  forwarding::SenderSelection KnownSenders() const;
  void ApplyFleetLimits(const forwarding::SenderSelection& senders,
                        ServiceState& service_state) const;
  void PublishSnapshot();

  // Planned stops.
  void AdvanceStop(Time now);
  void EndRequestsAtStop(Time now);
  bool CanEndBeforeStop(const RequestRecord& record,
                        const ServiceState& service_state,
                        Time now) const;
  Duration LongestTtl() const;

  // Rate limits of endpoints.
  void OnRateLimitNotice(const RequestRecord& record,
                         ServiceState& service_state,
                         const forwarding::RateLimitNotice& notice,
                         Time now);
  void ApplyRateShares(const protocol::HeartbeatReply& reply, Time now);
  std::map<std::string, protocol::RateShare> RateSharesOf(
      const std::string& service) const;
  std::vector<protocol::RateLimitReport> TakeRateLimitReports(
      std::uint64_t sequence,
      Time now);
  bool RefuseBeyondRate(const RequestRecord& record,
                        ServiceState& service_state,
                        Time now);
  void RefuseWaitingBeyondRate(ServiceState& service_state, Time now);
  std::string OwnerFor(const RequestRecord& record) const;

  // What endpoints say of themselves.
  void OnNotices(ServiceState& service_state,
                 const std::string& endpoint,
                 const forwarding::EndpointProcess& process,
                 const forwarding::EndpointNotices& notices,
                 Time now);
  std::vector<protocol::DrainReport> TakeDrainReports(Time now);

  // Bandwidth of this instance's network link.
  void CountArrival(const RequestArrived& event, Time now);
  void CountExpectedAnswer(RequestRecord& record,
                           const ServiceState& service_state,
                           Time now);
  void SettleBandwidth(const RequestRecord& record, Time now);
  bool RefuseBeyondBandwidth(const RequestRecord& record, Time now);

  // Links to endpoints.
  void TrackLinks(const RequestRecord& record,
                  const AttemptEnded& event,
                  Time now);
  void CheckLinks(Time now);
  void ProbeLinks(Time now);
  void OnLinkStateChange(Time now);

  // Requests that crash endpoints.
  static std::uint64_t SuspectId(const RequestArrived& event);
  std::optional<Error> CheckQuarantine(const RequestRecord& record) const;
  void UpdateQuarantine(const RequestRecord& record,
                        forwarding::AttemptEnd end,
                        Time now);
  void AddQuarantineReports(protocol::Heartbeat& heartbeat, Time now);
  void ApplySuspects(const protocol::HeartbeatReply& reply, Time now);

  // Relays to other entries.
  bool ShouldRelay(const RequestRecord& record, Time now) const;
  bool CanRelay(const RequestRecord& record, Time now) const;
  const protocol::EntryStatus* SelectRelayEntry(const RequestRecord& record,
                                                Time now) const;
  std::uint64_t DecisionOn(const RequestArrived& arrival) const;
  bool IsDecidedElsewhere(const RequestArrived& event, Time now) const;
  bool StartRelay(RequestRecord& record, Time now);
  void On(const RelayEnded& event, Time now);
  const std::vector<std::string>& HandOverRegions(
      const RequestRecord& record) const;
  bool MayHandOverTo(const std::string& id,
                     const std::vector<std::string>& regions) const;
  void RelayWaitingRequests(Time now);
  void RelayRunningRequests(Time now);
  void SpreadCallers();

  // Arrival and admission of requests.
  void On(const RequestArrived& event, Time now);
  Result<RequestRecord> Resolve(const RequestArrived& event);
  const std::vector<std::string>& AllowedRegions(
      const RequestRecord& record) const;
  std::optional<Error> CheckArrival(const RequestArrived& event,
                                    Time now) const;
  std::optional<Error> CheckService(const RequestRecord& record,
                                    Time now) const;
  Duration RetryAfter(const RequestRecord& record) const;
  Duration ScheduleReturn(const RequestRecord& record, Time now);
  Duration ReturnWhenReady(RequestTicket ticket, Time now) const;
  Duration LongestReturn(const RequestRecord& record, Time now) const;
  void Admit(RequestRecord record, ServiceState& service_state, Time now);
  void StartClaim(RequestRecord& record, Time now);
  void OnClaimReply(const protocol::ClaimReply& reply, Time now);

  // Work that events make due.
  void RunDueWork(Time now);
  void DispatchRequests(ServiceState& service_state, Time now);

  // Requests whose routes move to other services.
  const settings::RouteSettings* RouteOf(const RequestRecord& record) const;
  static bool LeadsTo(const settings::RouteSettings& route,
                      const std::string& service);
  bool HasMoved(const RequestRecord& record) const;
  void MoveWaitingRequests(Time now);
  RequestRecord TakeRequest(RequestTicket ticket, Time now);
  void MoveRequest(RequestRecord record, Time now);

  // Attempts of requests.
  void On(const AttemptEnded& event, Time now);
  static bool HasExchange(const RequestRecord& record);
  void SetObjectPlacement(const RequestRecord& record,
                          const ServiceState& service_state,
                          forwarding::EndpointCriteria& endpoint_criteria,
                          Time now) const;
  void ClaimSlice(const RequestRecord& record,
                  const ServiceState& service_state,
                  const std::string& endpoint,
                  Time now);
  void RecordSliceUse(const RequestRecord& record, Time now);
  bool TryAttempt(RequestRecord& record, ServiceState& service_state, Time now);
  static void RequeueRequest(RequestRecord& record,
                             ServiceState& service_state);
  bool TryAcquireRetry(const RequestRecord& record,
                       ServiceState& service_state,
                       forwarding::AttemptEnd end,
                       Time now) const;

  // Ends of requests.
  bool CancelExchange(RequestRecord& record, Time now);
  void On(const RequestAbandoned& event, Time now);
  void RefuseExpired(Time now);
  void RefuseUnservable(ServiceState& service_state, Time now);
  void Refuse(RequestTicket ticket, Error error, Time now);
  void FinishClaim(const RequestRecord& record,
                   Outcome outcome,
                   const protocol::RecordedAnswer& answer,
                   Time now);
  void EndRequest(RequestTicket ticket,
                  decltype(RequestAnswer::body) body,
                  Time now);
  RequestRecord* FindByClaimId(const std::string& claim_id);

  // Log records.
  log::Record& AddLogRecord(std::string_view event);
  void LogPreventedExchange(const RequestRecord& record);
  void LogAttemptStart(const RequestRecord& record,
                       const ServiceState& service_state,
                       const forwarding::EndpointCriteria& endpoint_criteria,
                       Time now);
  void LogAttemptEnd(const RequestRecord& record,
                     forwarding::AttemptEnd end,
                     bool will_retry,
                     Time now);
  void LogRequestEnd(const RequestRecord& record,
                     const decltype(RequestAnswer::body)& body,
                     Time now);
  void LogRefusal(const RequestArrived& arrival, const RefuseRequest& refusal);
  void LogStateChanges(Time now);
  void LogUpdates(Time now);

  EntryOptions options_;
  ControlSession session_;
  ClaimClient claim_client_;
  admission::RankCeilings ceilings_;
  admission::BandwidthBudget bandwidth_;
  /// Returns of the callers that were refused for lack of bandwidth.
  admission::ReturnSchedule bandwidth_returns_;
  /// Requests that were admitted.
  forwarding::DemandMeter admitted_;
  forwarding::LinkMonitor links_;
  quarantine::RequestQuarantine quarantine_;
  /// State that OnLinkStateChange() has acted on.
  forwarding::LinkState applied_links_ = forwarding::LinkState::kConnected;
  /// Versions of the session's state that are applied to `services_`.
  std::uint64_t fleet_revision_ = 0;
  /// Revision of the settings that queued requests were last moved by.
  std::uint64_t moved_revision_ = 0;
  std::uint64_t endpoint_changes_ = 0;
  std::uint64_t members_version_ = 0;
  /// Entries that send to cold endpoints.
  forwarding::SenderHistory warmup_senders_;
  std::uint64_t rate_shares_version_ = 0;
  /// Term of the leader that was told of all limits.
  std::uint64_t reported_term_ = 0;
  /// Time of the first event.
  std::optional<Time> started_;
  Time next_endpoint_list_{};
  /// Time of the next read of the endpoint list from the platform; empty while
  /// the control role provides an up-to-date list.
  std::optional<Time> endpoint_list_due_;
  Time next_drain_reports_{};
  std::map<std::string, WeightedRoundRobin> round_robin_by_route_;
  std::shared_ptr<const steering::ClientMap> client_map_;
  std::map<std::string, ServiceState> services_;
  std::map<RequestTicket, RequestRecord> requests_;
  std::map<std::string, RequestTicket> tickets_by_claim_id_;
  /// Entries that no request is handed to, until the given time.
  std::map<std::string, Time> avoided_entries_;
  /// Entries that the last member list shows as isolated.
  std::set<std::string> isolated_entries_;
  steering::AbsentEntries absent_entries_;
  bool was_in_contact_ = false;
  std::string logged_leader_;
  /// Set during a planned stop.
  std::optional<StopSchedule> stop_;
  EntryActions actions_;
};

}  // namespace jacinth::entry
