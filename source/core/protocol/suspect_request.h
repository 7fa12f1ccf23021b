#pragma once

#include <cstdint>
#include <vector>

#include "core/common/time.h"

namespace jacinth::protocol {

/// Sent by an entry to the control role: an endpoint's connection was lost
/// while it ran a request.
struct CrashReport {
  /// Fingerprint of the request; see RequestArrived.
  std::uint64_t fingerprint = 0;
  /// Identifies the endpoint and its start; see quarantine::EndpointHash().
  std::uint64_t endpoint = 0;
  /// Time since the request was sent to the endpoint, in milliseconds.
  std::int64_t sent_age_ms = 0;
  /// Time since the connection was lost, in milliseconds.
  std::int64_t ended_age_ms = 0;

  bool operator==(const CrashReport&) const = default;
};

/// A request that endpoints crashed at, one after the other, as recorded in the
/// replicated log.
struct SuspectRequest {
  std::uint64_t fingerprint = 0;
  /// Endpoints that crashed; empty if the request is no longer suspected.
  std::vector<std::uint64_t> endpoints;
  WallMillis expires_ms = 0;

  bool operator==(const SuspectRequest&) const = default;
};

/// A suspect request, as sent to the entries, whose wall clocks may differ.
struct SuspectNotice {
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> endpoints;
  /// Time until the suspicion expires, in milliseconds.
  std::int64_t left_ms = 0;

  bool operator==(const SuspectNotice&) const = default;
};

/// All suspect requests that the leader knows, or those that have changed since
/// `base`.
struct SuspectUpdate {
  /// Term of the leader, in the upper 32 bits, and a counter in the lower ones;
  /// 0 if the sender doesn't keep suspects.
  std::uint64_t version = 0;
  /// True if the entry already holds this version, so that `requests` is
  /// omitted.
  bool unchanged = false;
  std::vector<SuspectNotice> requests;
  /// Version that the changes are based on; 0 if `requests` is the whole list.
  std::uint64_t base = 0;
  /// Fingerprints of the requests that are no longer suspected since `base`, or
  /// lately if that is 0.
  std::vector<std::uint64_t> removed;

  bool operator==(const SuspectUpdate&) const = default;
};

}  // namespace jacinth::protocol
