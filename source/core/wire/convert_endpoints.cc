#include <utility>

#include "core/protocol/endpoint_check.h"
#include "core/wire/convert.h"

namespace jacinth::wire {
namespace {

generated::ListedEndpoint EndpointToWire(
    const protocol::ListedEndpoint& endpoint) {
  generated::ListedEndpoint out;
  out.id = endpoint.id;
  out.started_ms = endpoint.started_ms;
  out.service_name = endpoint.service;
  out.address = endpoint.address;
  out.failure_domain = endpoint.failure_domain;
  out.slots = endpoint.slots;
  out.draining = endpoint.draining;
  out.cold_for_ms = endpoint.cold_for_ms;
  return out;
}

protocol::ListedEndpoint EndpointFromWire(
    const generated::ListedEndpoint& endpoint) {
  protocol::ListedEndpoint out;
  out.id = endpoint.id;
  out.started_ms = endpoint.started_ms;
  out.service = endpoint.service_name;
  out.address = endpoint.address;
  out.failure_domain = endpoint.failure_domain;
  out.slots = endpoint.slots;
  out.draining = endpoint.draining;
  out.cold_for_ms = endpoint.cold_for_ms;
  return out;
}

}  // namespace

generated::EndpointUpdate ToWire(const protocol::EndpointUpdate& update) {
  generated::EndpointUpdate out;
  out.version = static_cast<std::int64_t>(update.version);
  out.base = static_cast<std::int64_t>(update.base);
  for (const protocol::ListedEndpoint& endpoint : update.changed)
    out.changed.push_back(EndpointToWire(endpoint));
  out.removed = update.removed;
  if (update.parts)
    out.__set_parts({update.parts->begin(), update.parts->end()});
  return out;
}

protocol::EndpointUpdate FromWire(const generated::EndpointUpdate& update) {
  protocol::EndpointUpdate out;
  out.version = static_cast<std::uint64_t>(update.version);
  out.base = static_cast<std::uint64_t>(update.base);
  out.removed = update.removed;
  if (update.__isset.parts)
    out.parts.emplace(update.parts.begin(), update.parts.end());
  for (const generated::ListedEndpoint& endpoint : update.changed) {
    protocol::ListedEndpoint read = EndpointFromWire(endpoint);
    // Leaders of other builds may list endpoints that can't be used.
    if (protocol::IsUsable(read))
      out.changed.push_back(std::move(read));
    else
      out.removed.push_back(read.id);
  }
  return out;
}

generated::DrainReport ToWire(const protocol::DrainReport& report) {
  generated::DrainReport out;
  out.endpoint = report.endpoint;
  out.address = report.address;
  out.started_ms = report.started_ms;
  return out;
}

protocol::DrainReport FromWire(const generated::DrainReport& report) {
  return {report.endpoint, report.address, report.started_ms};
}

}  // namespace jacinth::wire
