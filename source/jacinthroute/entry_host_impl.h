#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <asio/io_context.hpp>

#include "core/common/machine_memory.h"
#include "core/common/process_clock.h"
#include "core/entry/entry_node.h"
#include "core/http/event_client.h"
#include "core/http/event_server.h"
#include "core/log/log.h"
#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/address_uses.h"
#include "jacinthroute/attempt_end.h"
#include "jacinthroute/endpoint_lister.h"
#include "jacinthroute/entry_host.h"
#include "jacinthroute/interface_adapter.h"
#include "jacinthroute/relay_check.h"
#include "jacinthroute/relay_tag.h"
#include "jacinthroute/tick_timer.h"

namespace jacinth {

/// Maximum number of idle connections to one endpoint.
inline constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 32;
/// Longest idle time of a connection to be reused for a repeatable or for an
/// at-most-once request. A device on the path can drop the state of an idle
/// connection, and a request that is then sent on it is lost.
inline constexpr Duration kMaxIdleTimeRepeatable = 30s;
inline constexpr Duration kMaxIdleTimeAtMostOnce = 1s;
inline constexpr Duration kProbeConnectTimeout = 250ms;
/// Allows for the time in which a probe, like a request, waits for a slot at
/// the endpoint.
inline constexpr Duration kProbeTimeout = 1500ms;
inline constexpr std::size_t kMaxProbeBodyBytes = 4'096;
/// Largest answer body that is recorded in the ledger.
inline constexpr std::size_t kMaxRecordedBodyBytes = 1'024;
/// Time from the start of a planned stop until idle connections of callers are
/// closed.
inline constexpr Duration kDrainGracePeriod = 1s;
/// Part of the memory of the process, in percent, that messages may take, and
/// part of that for incomplete answers, which take more while they grow.
inline constexpr std::size_t kMessageMemoryPercent = 70;
inline constexpr std::size_t kIncompleteAnswersPercent = 35;
/// Limit on request bodies until the first settings are received.
inline constexpr std::size_t kInitialMaxBodyBytes = 64UL << 20U;

/// Header of a request that another entry has handed to this one; the RelayTag
/// of that entry. Callers can't set it; see IsFromEntry().
inline constexpr std::string_view kRelayedHeader = "Jacinth-Relayed";
/// Header of a refusal of such a request that other entries may be able to
/// serve; the RelayTag of the entry that refused, with the revision only if it
/// refused because it isn't ready.
inline constexpr std::string_view kUnavailableHeader = "Jacinth-Unavailable";

/// An EntryHost that uses the interface of `Adapter` with callers and
/// endpoints.
template <InterfaceAdapter Adapter>
class EntryHostImpl : public EntryHost {
 public:
  EntryHostImpl(asio::io_context& context,
                const settings::InstanceSettings& settings,
                net::LinkHub& hub,
                metrics::Registry& metrics,
                trace::SpanWriter& spans);

  Result<void> Start() override;
  void BeginStop(std::function<void()> done) override;
  void Shutdown() override;
  void OnMessage(const std::string& from, protocol::Envelope envelope) override;
  void SetContacts(std::vector<std::string> contacts) override;

 private:
  using TransactionPtr = std::shared_ptr<http::Transaction>;

  /// A request that has not been answered yet.
  struct PendingRequest {
    TransactionPtr transaction;
    ForwardedRequest forwarded;
    /// Response of the last attempt.
    http::Response last_response;
    /// Exchange of the attempt in progress; 0 if there is none.
    http::CallId exchange = 0;
    trace::Span span;
    Time started{};
  };

  /// Returns the memory that all messages together may take, in bytes.
  static std::size_t MessageMemory(const settings::InstanceSettings& settings);
  static entry::EntryOptions MakeOptions(
      const settings::InstanceSettings& settings,
      const Adapter& adapter);

  void OnTransaction(const TransactionPtr& transaction);
  void BeginRequest(const TransactionPtr& transaction,
                    ForwardedRequest&& forwarded);
  void BeginSpan(const http::Request& request, PendingRequest& pending);
  /// Returns a request for which an exchange may be started; null if it has
  /// ended, or has an exchange in progress.
  PendingRequest* FindWithoutExchange(entry::RequestTicket ticket);
  void StartAttempt(const entry::StartAttempt& attempt);
  void StartRelay(const entry::StartRelay& relay);
  void OnRelayEnd(const entry::StartRelay& relay, http::ExchangeResult result);
  void OnExchangeEnd(const entry::StartAttempt& attempt,
                     std::int64_t started_unix_ns,
                     http::ExchangeResult result);
  void SendAnswer(const entry::RequestAnswer& answer);
  http::Response MakeResponse(const entry::RequestAnswer& answer,
                              PendingRequest& pending);
  void RecordTelemetry(const entry::RequestAnswer& answer,
                       const http::Response& response,
                       PendingRequest& pending);
  void StartProbe(const entry::StartProbe& probe);
  void FinishAnswers(Time until);
  void OnAnswersFinished();
  void Step(const entry::EntryEvent& event);
  void CarryOut(entry::EntryActions actions);
  void ApplySnapshot(
      std::shared_ptr<const steering::SteeringSnapshot> snapshot);

  asio::io_context& context_;
  const settings::InstanceSettings& settings_;
  net::LinkHub& hub_;
  metrics::Registry& metrics_;
  trace::SpanWriter& spans_;
  Adapter adapter_;
  TickTimer timer_;
  entry::EntryNode node_;
  std::shared_ptr<const steering::SteeringSnapshot> snapshot_;
  entry::RequestTicket last_ticket_ = 0;
  std::uint64_t request_count_ = 0;
  std::map<entry::RequestTicket, PendingRequest> pending_requests_;
  UsesByAddress addresses_;
  /// Memory of all messages; outlives the client and the server.
  http::MemoryBudget memory_;
  http::EventClient client_;
  http::EventServer server_;
  EndpointLister endpoint_lister_;
  /// Limits the time in which callers receive their answers at a planned stop.
  TickTimer answers_timer_;
  bool finishing_answers_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace jacinth

#include "jacinthroute/entry_host_impl_inl.h"
