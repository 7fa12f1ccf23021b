#pragma once

#include "core/forwarding/attempt.h"
#include "core/http/connection.h"

namespace jacinth {

/// Converts the end of an HTTP exchange to the end of its attempt. Any complete
/// answer is kAnswered, regardless of its status and headers.
forwarding::AttemptEnd ToAttemptEnd(http::ExchangeEnd end);

}  // namespace jacinth
