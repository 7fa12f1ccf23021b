#pragma once

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/common/error.h"
#include "core/entry/entry_actions.h"
#include "core/entry/entry_event.h"
#include "core/forwarding/attempt.h"
#include "core/forwarding/endpoint_notices.h"
#include "core/forwarding/load_report.h"
#include "core/forwarding/rate_limit_notice.h"
#include "core/http/connection.h"
#include "core/http/message.h"
#include "core/metrics/registry.h"
#include "core/protocol/endpoint_list.h"
#include "core/settings/fleet_limits.h"
#include "core/settings/instance_settings.h"
#include "core/steering/steering_snapshot.h"
#include "jacinthroute/address_uses.h"

namespace jacinth {

/// State of the entry instance that is needed to parse a request, or to answer
/// it without an endpoint, such as a look-up or a readiness check.
struct RequestContext {
  const settings::InstanceSettings& settings;
  /// Null until the first settings are received.
  std::shared_ptr<const steering::SteeringSnapshot> snapshot;
  metrics::Registry& metrics;
  /// Changes with each request; spreads look-ups over the entry instances.
  std::uint64_t lookup_offset = 0;
  Time now{};
  /// Uses of the address that the request was sent to.
  AddressUses uses;
};

/// A caller's request to be forwarded to an endpoint.
struct ForwardedRequest {
  entry::RequestArrived arrival;
  /// The request that all attempts send, without the headers that are specific
  /// to an attempt.
  http::Request outgoing;
};

/// Result of an attempt, derived from the end of its HTTP exchange.
struct AttemptResult {
  forwarding::AttemptEnd end = forwarding::AttemptEnd::kConnectionLost;
  std::optional<forwarding::LoadReport> load;
  /// Empty if no answer to this attempt was received, or if the limit in it is
  /// malformed.
  std::optional<forwarding::RateLimitNotice> rate_limit;
  /// What else the answer says about the endpoint.
  forwarding::EndpointNotices notices;
};

/// One page of the platform's endpoint list.
struct EndpointPage {
  std::vector<protocol::ListedEndpoint> endpoints;
  /// Token of the next page; empty on the last page.
  std::string next_page_token;
  /// Number of entries of the page that name no usable endpoint.
  std::size_t skipped_endpoints = 0;
  /// Place of the first of them, and why it names none.
  std::string first_skipped;
};

/// Translates between EntryNode and the HTTP interface to callers and
/// endpoints. An adapter makes no decisions; EntryNode does.
template <typename Adapter>
concept InterfaceAdapter =
    std::constructible_from<Adapter, const settings::InstanceSettings&> &&
    requires(const Adapter& adapter,
             const http::Request& request,
             const RequestContext& context,
             const ForwardedRequest& forwarded,
             const entry::StartAttempt& attempt,
             const entry::StartRelay& relay,
             const entry::StartProbe& probe,
             const entry::RefuseRequest& refusal,
             const protocol::RecordedAnswer& recorded,
             const http::ExchangeResult& result,
             http::Response response,
             std::string text) {
  // Whether requests carry W3C trace contexts.
  { Adapter::kHasTraceContext } -> std::convertible_to<bool>;
  // Returns the limits of the deployment.
  { adapter.fleet_limits() } -> std::convertible_to<settings::FleetLimits>;
  // Parses a request. Returns the response instead if the entry instance
  // answers the request itself, which depends on the uses of the address that
  // it was sent to; only an address for callers forwards requests.
  {
    adapter.ParseRequest(request, context)
    } -> std::same_as<std::variant<http::Response, ForwardedRequest>>;
  // Builds the request that an attempt sends to the endpoint.
  {
    adapter.MakeAttemptRequest(forwarded, attempt)
    } -> std::same_as<http::Request>;
  // Builds the request that hands the caller's request to another entry.
  { adapter.MakeRelayRequest(forwarded, relay) } -> std::same_as<http::Request>;
  // Returns true if the response of another entry answers this request.
  {
    adapter.IsAnswerTo(forwarded, result.response)
    } -> std::convertible_to<bool>;
  // Returns true if the connection of an endpoint's response may carry other
  // requests.
  {
    adapter.KeepsConnection(forwarded, result.response)
    } -> std::convertible_to<bool>;
  // Determines how an attempt ended.
  {
    adapter.ClassifyAttempt(forwarded, attempt, result)
    } -> std::same_as<AttemptResult>;
  // Builds the response to the caller from the response of the endpoint.
  {
    adapter.MakeForwardedResponse(forwarded, std::move(response))
    } -> std::same_as<http::Response>;
  // Builds the response to the caller from a recorded answer.
  { adapter.MakeReplayedResponse(recorded) } -> std::same_as<http::Response>;
  // Builds the response to a refused request.
  {
    adapter.MakeRefusalResponse(forwarded, refusal)
    } -> std::same_as<http::Response>;
  // Builds the response to a request that can't be processed, from the status
  // and a description of the error.
  { adapter.MakeErrorResponse(0, text) } -> std::same_as<http::Response>;
  // Builds the request of a health probe.
  { adapter.MakeProbeRequest(probe) } -> std::same_as<http::Request>;
  // Determines the result of a health probe.
  {
    adapter.ClassifyProbe(probe, result)
    } -> std::same_as<forwarding::ProbeEnd>;
  // Reads what the answer to a health probe says about the endpoint.
  {
    adapter.ReadProbeNotices(probe, result)
    } -> std::same_as<forwarding::EndpointNotices>;
  // Builds the request for a page of the endpoint list, of one failure domain
  // or, if its name is empty, of all.
  {
    adapter.MakeEndpointListRequest(text, text)
    } -> std::same_as<http::Request>;
  // Parses a page of the endpoint list.
  {
    adapter.ParseEndpointListPage(result.response)
    } -> std::same_as<Result<EndpointPage>>;
};

}  // namespace jacinth
