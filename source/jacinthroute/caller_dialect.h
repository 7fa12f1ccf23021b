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
#include "core/forwarding/load_report.h"
#include "core/http/connection.h"
#include "core/http/message.h"
#include "core/metrics/registry.h"
#include "core/protocol/endpoint_list.h"
#include "core/settings/fleet_limits.h"
#include "core/settings/instance_settings.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth {

/// What answers that need no endpoint are made from.
struct EntryView {
  const settings::InstanceSettings& settings;
  /// Null before the first settings came.
  std::shared_ptr<const steering::SteeringSnapshot> snapshot;
  metrics::Registry& metrics;
  /// Spreads look-ups.
  std::uint64_t lookup_offset = 0;
  Time now{};
};

/// A request to be forwarded.
struct ForwardCall {
  entry::RequestArrived arrival;
  /// What every attempt sends, but for the headers of that attempt.
  http::Request outgoing;
};

/// How an attempt ended, as its answer tells.
struct AttemptVerdict {
  forwarding::AttemptEnd end = forwarding::AttemptEnd::kConnectionLost;
  std::optional<forwarding::LoadReport> load;
};

/// One page of the platform's list of endpoints.
struct EndpointPage {
  std::vector<protocol::ListedEndpoint> endpoints;
  /// Names the next page; empty on the last one.
  std::string next;
};

/// What an entry instance speaks with callers and endpoints. Decisions are
/// EntryNode's; a dialect only translates.
template <typename Adapter>
concept CallerDialect =
    std::constructible_from<Adapter, const settings::InstanceSettings&> &&
    requires(const Adapter& adapter,
             const http::Request& request,
             const EntryView& view,
             const ForwardCall& call,
             const entry::StartAttempt& attempt,
             const entry::StartProbe& probe,
             const entry::RefuseRequest& refusal,
             const protocol::RecordedAnswer& recorded,
             const http::ExchangeResult& result,
             http::Response response,
             std::string page) {
  { Adapter::kTraced } -> std::convertible_to<bool>;
  { adapter.limits() } -> std::convertible_to<settings::FleetLimits>;
  {
    adapter.Read(request, view)
    } -> std::same_as<std::variant<http::Response, ForwardCall>>;
  { adapter.ForAttempt(call, attempt) } -> std::same_as<http::Request>;
  { adapter.Judge(call, attempt, result) } -> std::same_as<AttemptVerdict>;
  { adapter.PassOn(call, std::move(response)) } -> std::same_as<http::Response>;
  { adapter.Repeat(recorded) } -> std::same_as<http::Response>;
  { adapter.Refuse(call, refusal) } -> std::same_as<http::Response>;
  { adapter.Unreadable(0, page) } -> std::same_as<http::Response>;
  { adapter.ForProbe(probe) } -> std::same_as<http::Request>;
  { adapter.JudgeProbe(probe, result) } -> std::same_as<forwarding::ProbeEnd>;
  { adapter.ForListing(page) } -> std::same_as<http::Request>;
  {
    adapter.ReadListing(result.response)
    } -> std::same_as<Result<EndpointPage>>;
};

}  // namespace jacinth
