#pragma once

#include "core/forwarding/attempt.h"
#include "core/http/connection.h"

namespace jacinth {

/// What an exchange's end means for its attempt; kAnswered for a whole answer,
/// whatever it says.
forwarding::AttemptEnd AttemptEndOf(http::ExchangeEnd end);

}  // namespace jacinth
