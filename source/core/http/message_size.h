#pragma once

#include <cstddef>

#include "core/http/message.h"

namespace jacinth::http {

/// Returns the approximate size of a message on the wire, in bytes.
std::size_t MessageSize(const Request& request);
std::size_t MessageSize(const Response& response);

}  // namespace jacinth::http
