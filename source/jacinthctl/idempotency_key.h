#pragma once

#include <string>

namespace jacinth::ctl {

/// Generates a version 7 UUID (RFC 9562) with the current time.
std::string NewIdempotencyKey();

}  // namespace jacinth::ctl
