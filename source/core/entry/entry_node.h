#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/admission/rank_ceilings.h"
#include "core/common/error.h"
#include "core/common/time.h"
#include "core/entry/claim_client.h"
#include "core/entry/control_session.h"
#include "core/entry/entry_actions.h"
#include "core/entry/entry_event.h"
#include "core/entry/request_record.h"
#include "core/entry/service_desk.h"

namespace jacinth::entry {

/// Fixed parameters of an entry node.
struct EntryOptions {
  protocol::EntryStatus self;
  Duration heartbeat{0};
  /// Silence of the control role after which the instance leaves look-ups.
  Duration control_timeout{0};
  /// Longest wait for requests in flight at a planned stop.
  Duration drain_limit{0};
  /// Requests held at once, each on a thread of its own.
  int max_requests = 0;
};

/// The entry role of one instance.
///
/// Holds no socket, thread or clock: every event comes with the time and gives
/// the actions to carry out.
class EntryNode {
 public:
  explicit EntryNode(EntryOptions options);

  EntryActions Step(const EntryEvent& event, Time now);

  std::size_t active_requests() const { return requests_.size(); }
  const ControlSession& session() const { return session_; }

 private:
  /// Steps of a planned stop.
  enum class Phase {
    kServing,
    /// No longer named in look-ups; callers may still come by older answers.
    kLeaving,
    /// New requests are refused; those in flight end.
    kRefusing,
  };

  // entry_node.cc
  void On(const MessageReceived& event, Time now);
  void On(const Tick& event, Time now);
  void On(const ProbeEnded& event, Time now);
  void On(const StopRequested& event, Time now);
  void TakeFleet();
  void PublishSnapshot();
  void TickStop(Time now);
  Duration LongestTtl() const;

  // entry_requests.cc
  void On(const RequestArrived& event, Time now);
  void On(const AttemptEnded& event, Time now);
  std::optional<Error> CheckArrival(const RequestArrived& event,
                                    Time now) const;
  void Admit(RequestRecord record, ServiceDesk& desk, Time now);
  void StartClaim(RequestRecord& record, Time now);
  void OnClaimReply(const protocol::ClaimReply& reply, Time now);
  void Pump(ServiceDesk& desk, Time now);
  bool TryAttempt(RequestRecord& record, ServiceDesk& desk, Time now);
  void WaitAgain(RequestRecord& record, ServiceDesk& desk, Time now);
  bool MayRetry(const RequestRecord& record,
                ServiceDesk& desk,
                Outcome outcome,
                Time now) const;
  void RefuseExpired(Time now);
  void RefuseUnservable(ServiceDesk& desk, Time now);
  void Refuse(RequestTicket ticket, Error error, Time now);
  void FinishClaim(const RequestRecord& record,
                   Outcome outcome,
                   const protocol::RecordedAnswer& answer,
                   Time now);
  void End(RequestTicket ticket, decltype(RequestAnswer::body) body);
  RequestRecord* FindByClaim(const std::string& claim);

  EntryOptions options_;
  ControlSession session_;
  ClaimClient claims_;
  admission::RankCeilings ceilings_;
  std::uint64_t fleet_revision_ = 0;
  std::shared_ptr<const steering::ClientMap> clients_;
  std::map<std::string, ServiceDesk> desks_;
  std::map<RequestTicket, RequestRecord> requests_;
  std::map<std::string, RequestTicket> tickets_by_claim_;
  Phase phase_ = Phase::kServing;
  Time stop_started_{};
  EntryActions actions_;
};

}  // namespace jacinth::entry
