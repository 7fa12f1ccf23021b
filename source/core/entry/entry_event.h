#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/admission/admission_queue.h"
#include "core/common/time.h"
#include "core/forwarding/attempt.h"
#include "core/forwarding/endpoint_table.h"
#include "core/forwarding/load_report.h"
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

/// Time has passed.
struct Tick {};

/// A caller's request, as far as decisions need it.
struct RequestArrived {
  RequestTicket ticket = 0;
  /// Service that the caller names; empty if `host` and `path` select a route.
  std::string service;
  std::string host;
  std::string method;
  /// Path below the service, or the whole path for a route.
  std::string path;
  /// Names the request in logs; may be empty.
  std::string request_id;
  /// Names the object that the request concerns; may be empty.
  std::string object;
  /// Who the idempotency key belongs to; may be empty.
  std::string caller;
  std::string idempotency_key;
  /// Hash of method, path and body.
  std::uint64_t fingerprint = 0;
  /// Budget that the caller gave; zero if none.
  Duration budget{0};
  /// W3C trace context; empty if the request isn't traced.
  std::string traceparent;
};

/// An attempt ended.
struct AttemptEnded {
  RequestTicket ticket = 0;
  forwarding::AttemptEnd end = forwarding::AttemptEnd::kConnectionLost;
  /// What the ledger keeps of a whole answer.
  protocol::RecordedAnswer answer;
  /// What the endpoint told of its load.
  std::optional<forwarding::LoadReport> load;
};

/// The caller closed its connection before it had an answer.
struct RequestAbandoned {
  RequestTicket ticket = 0;
};

/// The platform's list of endpoints was read by this instance itself.
struct EndpointsListed {
  std::vector<protocol::ListedEndpoint> endpoints;
};

/// The settings name other instances to ask for the control group.
struct ContactsChanged {
  std::vector<std::string> contacts;
};

/// A health probe ended.
struct ProbeEnded {
  std::string service;
  std::string endpoint;
  forwarding::ProbeEnd end = forwarding::ProbeEnd::kFailed;
};

/// The instance shall stop without cutting off a request.
struct StopRequested {};

/// Everything that an entry node reacts to.
using EntryEvent = std::variant<MessageReceived,
                                Tick,
                                RequestArrived,
                                AttemptEnded,
                                RequestAbandoned,
                                EndpointsListed,
                                ContactsChanged,
                                ProbeEnded,
                                StopRequested>;

}  // namespace jacinth::entry
