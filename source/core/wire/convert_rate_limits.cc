#include "core/wire/convert.h"

namespace jacinth::wire {

generated::RateLimitReport ToWire(const protocol::RateLimitReport& report) {
  generated::RateLimitReport out;
  out.service_name = report.key.service;
  out.endpoint = report.key.endpoint;
  out.started_ms = report.started_ms;
  if (report.limit_per_s)
    out.__set_limit_per_s(*report.limit_per_s);
  out.was_told = report.was_told;
  out.answer_age_ms = report.answer_age_ms;
  out.demand_per_s = report.demand_per_s;
  if (report.shared_limit_per_s)
    out.__set_shared_limit_per_s(*report.shared_limit_per_s);
  return out;
}

protocol::RateLimitReport FromWire(const generated::RateLimitReport& report) {
  protocol::RateLimitReport out;
  out.key = {report.service_name, report.endpoint};
  out.started_ms = report.started_ms;
  if (report.__isset.limit_per_s)
    out.limit_per_s = report.limit_per_s;
  out.was_told = report.was_told;
  out.answer_age_ms = report.answer_age_ms;
  out.demand_per_s = report.demand_per_s;
  if (report.__isset.shared_limit_per_s)
    out.shared_limit_per_s = report.shared_limit_per_s;
  return out;
}

generated::RateShareUpdate ToWire(const protocol::RateShareUpdate& update) {
  generated::RateShareUpdate out;
  out.version = static_cast<std::int64_t>(update.version);
  out.unchanged = update.unchanged;
  for (const protocol::RateShare& share : update.shares) {
    generated::RateShare& wire_share = out.shares.emplace_back();
    wire_share.service_name = share.key.service;
    wire_share.endpoint = share.key.endpoint;
    wire_share.started_ms = share.started_ms;
    wire_share.limit_per_s = share.limit_per_s;
    wire_share.share_per_s = share.share_per_s;
  }
  if (update.base != 0)
    out.__set_base(static_cast<std::int64_t>(update.base));
  if (update.removed.empty())
    return out;
  out.__isset.removed = true;
  for (const protocol::EndpointKey& key : update.removed) {
    generated::EndpointKey& wire_key = out.removed.emplace_back();
    wire_key.service_name = key.service;
    wire_key.endpoint = key.endpoint;
  }
  return out;
}

protocol::RateShareUpdate FromWire(const generated::RateShareUpdate& update) {
  protocol::RateShareUpdate out;
  out.version = static_cast<std::uint64_t>(update.version);
  out.unchanged = update.unchanged;
  for (const generated::RateShare& share : update.shares) {
    out.shares.push_back({{share.service_name, share.endpoint},
                          share.started_ms,
                          share.limit_per_s,
                          share.share_per_s});
  }
  if (update.__isset.base)
    out.base = static_cast<std::uint64_t>(update.base);
  for (const generated::EndpointKey& key : update.removed)
    out.removed.push_back({key.service_name, key.endpoint});
  return out;
}

}  // namespace jacinth::wire
