#include "core/wire/convert.h"

namespace jacinth::wire {
namespace {

generated::ListedEndpoint RowToWire(const protocol::ListedEndpoint& row) {
  generated::ListedEndpoint out;
  out.id = row.id;
  out.started_ms = row.started_ms;
  out.service_name = row.service;
  out.address = row.address;
  out.failure_domain = row.failure_domain;
  out.slots = row.slots;
  out.draining = row.draining;
  out.cold_for_ms = row.cold_for_ms;
  return out;
}

protocol::ListedEndpoint RowFromWire(const generated::ListedEndpoint& row) {
  protocol::ListedEndpoint out;
  out.id = row.id;
  out.started_ms = row.started_ms;
  out.service = row.service_name;
  out.address = row.address;
  out.failure_domain = row.failure_domain;
  out.slots = row.slots;
  out.draining = row.draining;
  out.cold_for_ms = row.cold_for_ms;
  return out;
}

}  // namespace

generated::EndpointUpdate ToWire(const protocol::EndpointUpdate& update) {
  generated::EndpointUpdate out;
  out.version = static_cast<std::int64_t>(update.version);
  out.base = static_cast<std::int64_t>(update.base);
  for (const protocol::ListedEndpoint& row : update.changed)
    out.changed.push_back(RowToWire(row));
  out.removed = update.removed;
  return out;
}

protocol::EndpointUpdate FromWire(const generated::EndpointUpdate& update) {
  protocol::EndpointUpdate out;
  out.version = static_cast<std::uint64_t>(update.version);
  out.base = static_cast<std::uint64_t>(update.base);
  for (const generated::ListedEndpoint& row : update.changed)
    out.changed.push_back(RowFromWire(row));
  out.removed = update.removed;
  return out;
}

}  // namespace jacinth::wire
