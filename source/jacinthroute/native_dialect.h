#pragma once

#include <variant>

#include "jacinthroute/caller_dialect.h"

namespace jacinth {

/// The product's own interface for callers and endpoints, see docs/DESIGN.md.
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
  /// The answer to a request that can't be read.
  http::Response Unreadable(int status, const std::string& detail) const;
  http::Request ForProbe(const entry::StartProbe& probe) const;
  forwarding::ProbeEnd JudgeProbe(const entry::StartProbe& probe,
                                  const http::ExchangeResult& result) const;

  /// The product's own endpoints stand in the settings tree, not in a list.
  http::Request ForListing(const std::string& page) const;
  Result<EndpointPage> ReadListing(const http::Response& response) const;
};

}  // namespace jacinth
