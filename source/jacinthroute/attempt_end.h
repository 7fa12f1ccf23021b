#pragma once

#include "core/forwarding/attempt.h"
#include "core/forwarding/link_monitor.h"
#include "core/http/connection.h"

namespace jacinth {

/// Converts the end of an HTTP exchange to the end of its attempt. Any complete
/// answer is kAnswered, regardless of its status and headers.
forwarding::AttemptEnd ToAttemptEnd(http::ExchangeEnd end);

/// Converts the result of a probe to what it says about the links.
forwarding::LinkProbeEnd ToLinkProbeEnd(const http::ExchangeResult& result);

}  // namespace jacinth
