#include "core/wire/convert.h"

namespace jacinth::wire {
namespace {

std::vector<std::uint64_t> HashesFromWire(
    const std::vector<std::int64_t>& hashes) {
  return {hashes.begin(), hashes.end()};
}

std::vector<std::int64_t> HashesToWire(
    const std::vector<std::uint64_t>& hashes) {
  return {hashes.begin(), hashes.end()};
}

}  // namespace

generated::CrashReport ToWire(const protocol::CrashReport& report) {
  generated::CrashReport out;
  out.fingerprint = static_cast<std::int64_t>(report.fingerprint);
  out.endpoint = static_cast<std::int64_t>(report.endpoint);
  out.sent_age_ms = report.sent_age_ms;
  out.ended_age_ms = report.ended_age_ms;
  return out;
}

protocol::CrashReport FromWire(const generated::CrashReport& report) {
  return {static_cast<std::uint64_t>(report.fingerprint),
          static_cast<std::uint64_t>(report.endpoint), report.sent_age_ms,
          report.ended_age_ms};
}

generated::SuspectRequest ToWire(const protocol::SuspectRequest& request) {
  generated::SuspectRequest out;
  out.fingerprint = static_cast<std::int64_t>(request.fingerprint);
  out.endpoints = HashesToWire(request.endpoints);
  out.expires_ms = request.expires_ms;
  return out;
}

protocol::SuspectRequest FromWire(const generated::SuspectRequest& request) {
  return {static_cast<std::uint64_t>(request.fingerprint),
          HashesFromWire(request.endpoints), request.expires_ms};
}

generated::SuspectUpdate ToWire(const protocol::SuspectUpdate& update) {
  generated::SuspectUpdate out;
  out.version = static_cast<std::int64_t>(update.version);
  out.unchanged = update.unchanged;
  for (const protocol::SuspectNotice& notice : update.requests) {
    generated::SuspectNotice& wire_notice = out.requests.emplace_back();
    wire_notice.fingerprint = static_cast<std::int64_t>(notice.fingerprint);
    wire_notice.endpoints = HashesToWire(notice.endpoints);
    wire_notice.left_ms = notice.left_ms;
  }
  if (update.base != 0)
    out.__set_base(static_cast<std::int64_t>(update.base));
  if (!update.removed.empty())
    out.__set_removed(HashesToWire(update.removed));
  return out;
}

protocol::SuspectUpdate FromWire(const generated::SuspectUpdate& update) {
  protocol::SuspectUpdate out;
  out.version = static_cast<std::uint64_t>(update.version);
  out.unchanged = update.unchanged;
  for (const generated::SuspectNotice& notice : update.requests) {
    out.requests.push_back({static_cast<std::uint64_t>(notice.fingerprint),
                            HashesFromWire(notice.endpoints), notice.left_ms});
  }
  out.base = static_cast<std::uint64_t>(update.base);
  out.removed = HashesFromWire(update.removed);
  return out;
}

}  // namespace jacinth::wire
