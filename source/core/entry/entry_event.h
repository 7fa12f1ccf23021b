#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/admission/admission_queue.h"
#include "core/common/time.h"
#include "core/forwarding/attempt.h"
#include "core/forwarding/endpoint_notices.h"
#include "core/forwarding/endpoint_process.h"
#include "core/forwarding/endpoint_table.h"
#include "core/forwarding/link_monitor.h"
#include "core/forwarding/load_report.h"
#include "core/forwarding/rate_limit_notice.h"
#include "core/protocol/claim.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/envelope.h"

namespace jacinth::entry {

using admission::RequestTicket;

/// A message from a control instance.
struct MessageReceived {
  std::string from;
  protocol::Envelope envelope;
};

/// Periodic timer event.
struct Tick {};

/// The parts of a caller's request that decisions depend on.
struct RequestArrived {
  RequestTicket ticket = 0;
  /// Service named by the caller; empty if `host` and `path` select a route.
  std::string service;
  std::string host;
  std::string method;
  /// Path relative to the service, or the full path for a route.
  std::string path;
  /// Identifies the request in logs; may be empty.
  std::string request_id;
  /// Affinity key: the object that the request concerns; may be empty.
  std::string object;
  /// Caller that the idempotency key belongs to; may be empty.
  std::string caller;
  std::string idempotency_key;
  /// Hash of method, path and body.
  std::uint64_t fingerprint = 0;
  /// Time budget given by the caller; zero if none, negative if its deadline
  /// has already passed.
  Duration budget{0};
  /// Size of the request on the wire, in bytes.
  std::size_t message_bytes = 0;
  /// W3C trace context; empty if the request isn't traced.
  std::string traceparent;
  /// True if another entry has handed the request to this one, which must not
  /// hand it to a third.
  bool relayed = false;
  /// Revision of the settings by which that entry decided; 0 if it doesn't say,
  /// like those of earlier builds.
  std::uint64_t relay_revision = 0;
  /// Digest of the settings that decide this request there; 0 if it doesn't
  /// say.
  std::uint64_t relay_decision = 0;
};

/// An attempt ended.
struct AttemptEnded {
  RequestTicket ticket = 0;
  forwarding::AttemptEnd end = forwarding::AttemptEnd::kConnectionLost;
  /// The parts of a complete answer that the ledger records.
  protocol::RecordedAnswer answer;
  /// Size of the answer on the wire, in bytes; 0 if there was none.
  std::size_t answer_bytes = 0;
  /// Load reported by the endpoint with its answer.
  std::optional<forwarding::LoadReport> load;
  /// True if the attempt was the first exchange on its connection.
  bool opened_connection = false;
  /// True if the endpoint's address refused the connection, rather than not
  /// responding.
  bool connection_refused = false;
  /// Empty if the attempt ended without an answer of this endpoint to this
  /// request, or if the limit in it is malformed.
  std::optional<forwarding::RateLimitNotice> rate_limit;
  /// What else the answer says about the endpoint; empty without an answer of
  /// this endpoint to this request.
  forwarding::EndpointNotices notices;
};

/// A relay to another entry ended.
struct RelayEnded {
  RequestTicket ticket = 0;
  /// kAnswered for a final answer of any kind; kRefused if the other entry
  /// can't serve the request either and has not run it.
  forwarding::AttemptEnd end = forwarding::AttemptEnd::kConnectionLost;
  /// Size of the answer on the wire, in bytes; 0 if there was none.
  std::size_t answer_bytes = 0;
  /// True if the other entry refused because it holds older settings than this
  /// one, which it replaces shortly.
  bool has_older_settings = false;
};

/// The caller closed its connection before it received an answer.
struct RequestAbandoned {
  RequestTicket ticket = 0;
};

/// This instance has read the endpoint list from the platform.
struct EndpointsListed {
  std::vector<protocol::ListedEndpoint> endpoints;
  /// False if pages could not be read, so that only drains can be taken from
  /// it.
  bool is_complete = true;
  /// Time since the reading began.
  Duration took{0};
};

/// The settings list other instances to contact while the leader is unknown.
struct ContactsChanged {
  std::vector<std::string> contacts;
};

/// A health probe ended.
struct ProbeEnded {
  std::string service;
  std::string endpoint;
  forwarding::ProbeEnd end = forwarding::ProbeEnd::kFailed;
  /// What the probe says about this entry's links.
  forwarding::LinkProbeEnd link_end = forwarding::LinkProbeEnd::kNoResponse;
  /// True for a probe of this entry's links; see StartProbe.
  bool tests_links = false;
  /// Process that was probed.
  forwarding::EndpointProcess process;
  /// What the answer says about the endpoint.
  forwarding::EndpointNotices notices;
};

/// A planned stop was requested, in which requests in flight are completed.
struct StopRequested {};

/// Any event that an entry node handles.
using EntryEvent = std::variant<MessageReceived,
                                Tick,
                                RequestArrived,
                                AttemptEnded,
                                RelayEnded,
                                RequestAbandoned,
                                EndpointsListed,
                                ContactsChanged,
                                ProbeEnded,
                                StopRequested>;

}  // namespace jacinth::entry
