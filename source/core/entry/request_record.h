#pragma once

#include <set>
#include <string>

#include "core/common/time.h"
#include "core/entry/entry_event.h"
#include "core/forwarding/endpoint_process.h"
#include "core/settings/kind_settings.h"

namespace jacinth::entry {

/// Processing state of a request.
enum class RequestPhase {
  /// Waiting for the decision on its claim.
  kClaiming,
  /// Queued for a slot of an endpoint.
  kWaiting,
  /// An attempt is in progress.
  kRunning,
  /// Handed to another entry before it got a slot here.
  kRelaying,
};

/// State of one admitted request.
struct RequestRecord {
  RequestArrived arrival;
  /// Identifies the request and its resends in the quarantine.
  std::uint64_t suspect_id = 0;
  settings::KindSettings kind;
  /// Revision of the settings that `kind` comes from. The regions in it bind
  /// only until the next one; see EntryNode::AllowedRegions().
  std::uint64_t revision = 0;
  /// Service that the request was assigned to; for a route, one of its shares.
  std::string service;
  /// The settings applied last moved the route to other services, or removed it
  /// after earlier ones had.
  bool route_moved = false;
  Time arrived{};
  Time deadline{};
  /// Time until which the request may wait for an endpoint.
  Time wait_until{};
  RequestPhase phase = RequestPhase::kWaiting;
  /// Identifies the attempt in claims; empty if the request needs no claim.
  std::string claim_id;
  int attempts = 0;
  /// Endpoint of the attempt in progress; empty if there is none.
  std::string endpoint;
  /// Process of that endpoint when the attempt started.
  forwarding::EndpointProcess process;
  Time attempt_started{};
  /// Entry that the request is handed to; empty if there is none.
  std::string relay_entry;
  /// Digest of the settings that decided the request then; see StartRelay.
  std::uint64_t relay_decision = 0;
  /// Entries that the request was handed to.
  std::set<std::string> tried_entries;
  /// Endpoints that the next attempt must not use.
  std::set<std::string> excluded_endpoints;
  /// Size of the answer that was counted as bandwidth in advance, and of the
  /// answers received so far, in bytes.
  double expected_answer_bytes = 0;
  double answer_bytes = 0;
  /// An earlier attempt ran the request or ended with an unknown outcome.
  bool may_have_run = false;
  /// The last attempt ended with an unknown outcome, such as a lost connection
  /// or a timeout.
  bool last_outcome_unknown = false;
};

}  // namespace jacinth::entry
