#pragma once

#include <variant>

#include "jacinthroute/caller_dialect.h"

namespace jacinth {

/// Adapter for the native interface to callers and endpoints; see
/// docs/DESIGN.md.
class NativeAdapter {
 public:
  static constexpr bool kTraced = true;

  explicit NativeAdapter(const settings::InstanceSettings& settings);

  settings::FleetLimits limits() const { return {}; }

  std::variant<http::Response, ForwardCall> Read(const http::Request& request,
                                                 const EntryView& view) const;
  http::Request ForAttempt(const ForwardCall& call,
                           const entry::StartAttempt& attempt) const;
  AttemptVerdict Judge(const ForwardCall& call,
                       const entry::StartAttempt& attempt,
                       const http::ExchangeResult& result) const;
  http::Response PassOn(const ForwardCall& call, http::Response response) const;
  http::Response Repeat(const protocol::RecordedAnswer& answer) const;
  http::Response Refuse(const ForwardCall& call,
                        const entry::RefuseRequest& refusal) const;
  /// Builds the response to a request that can't be processed.
  http::Response Unreadable(int status, const std::string& detail) const;
  http::Request ForProbe(const entry::StartProbe& probe) const;
  forwarding::ProbeEnd JudgeProbe(const entry::StartProbe& probe,
                                  const http::ExchangeResult& result) const;

  /// Not used: the endpoints of the native interface are set in the settings
  /// tree, so there is no endpoint list to read.
  http::Request ForListing(const std::string& page) const;
  Result<EndpointPage> ReadListing(const http::Response& response) const;
};

}  // namespace jacinth
