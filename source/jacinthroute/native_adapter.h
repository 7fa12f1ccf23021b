#pragma once

#include <variant>

#include "jacinthroute/interface_adapter.h"

namespace jacinth {

/// Adapter for the native interface to callers and endpoints; see
/// docs/DESIGN.md.
class NativeAdapter {
 public:
  static constexpr bool kHasTraceContext = true;

  explicit NativeAdapter(const settings::InstanceSettings& settings);

  settings::FleetLimits fleet_limits() const { return {}; }

  std::variant<http::Response, ForwardedRequest> ParseRequest(
      const http::Request& request,
      const RequestContext& context) const;
  http::Request MakeAttemptRequest(const ForwardedRequest& forwarded,
                                   const entry::StartAttempt& attempt) const;
  http::Request MakeRelayRequest(const ForwardedRequest& forwarded,
                                 const entry::StartRelay& relay) const;
  bool IsAnswerTo(const ForwardedRequest& forwarded,
                  const http::Response& response) const;
  bool KeepsConnection(const ForwardedRequest& forwarded,
                       const http::Response& response) const;
  AttemptResult ClassifyAttempt(const ForwardedRequest& forwarded,
                                const entry::StartAttempt& attempt,
                                const http::ExchangeResult& result) const;
  http::Response MakeForwardedResponse(const ForwardedRequest& forwarded,
                                       http::Response response) const;
  http::Response MakeReplayedResponse(
      const protocol::RecordedAnswer& answer) const;
  http::Response MakeRefusalResponse(const ForwardedRequest& forwarded,
                                     const entry::RefuseRequest& refusal) const;
  /// Builds the response to a request that can't be processed.
  http::Response MakeErrorResponse(int status, const std::string& detail) const;
  http::Request MakeProbeRequest(const entry::StartProbe& probe) const;
  forwarding::ProbeEnd ClassifyProbe(const entry::StartProbe& probe,
                                     const http::ExchangeResult& result) const;
  forwarding::EndpointNotices ReadProbeNotices(
      const entry::StartProbe& probe,
      const http::ExchangeResult& result) const;

  /// Not used: the endpoints of the native interface are set in the settings
  /// tree, so there is no endpoint list to read.
  http::Request MakeEndpointListRequest(const std::string& failure_domain,
                                        const std::string& page_token) const;
  Result<EndpointPage> ParseEndpointListPage(
      const http::Response& response) const;
};

}  // namespace jacinth
