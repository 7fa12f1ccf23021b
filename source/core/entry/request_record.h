#pragma once

#include <set>
#include <string>

#include "core/common/time.h"
#include "core/entry/entry_event.h"
#include "core/settings/kind_settings.h"

namespace jacinth::entry {

/// Where a request stands.
enum class RequestPhase {
  /// Waits for its claim.
  kClaiming,
  /// Waits for a slot.
  kWaiting,
  /// An attempt is under way.
  kRunning,
};

/// One request that an entry instance is working on.
struct RequestRecord {
  RequestArrived arrival;
  settings::KindSettings kind;
  /// Service chosen among those of the route.
  std::string service;
  Time arrived{};
  Time deadline{};
  /// Time after which the request no longer waits for an endpoint.
  Time wait_until{};
  RequestPhase phase = RequestPhase::kWaiting;
  /// Name of the claim's attempt; empty if no claim was made.
  std::string claim_id;
  int attempts = 0;
  /// Endpoint of the attempt under way.
  std::string endpoint;
  Time attempt_started{};
  std::set<std::string> tried;
  /// An earlier attempt ended without a known outcome.
  bool may_have_run = false;
  /// The last attempt ended by a broken or silent connection.
  bool last_outcome_unknown = false;
};

}  // namespace jacinth::entry
