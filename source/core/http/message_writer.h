#pragma once

#include <string>

#include "core/http/message.h"

namespace jacinth::http {

/// Serializes a request to `authority`; a body is delimited by its length.
/// Connection-specific fields must have been removed from `request`.
std::string WriteRequest(const Request& request, const std::string& authority);

/// Serializes a response; a body is delimited by its length. `to_head_request`
/// omits the body; `close` announces the end of the connection.
std::string WriteResponse(const Response& response,
                          bool to_head_request,
                          bool close);

}  // namespace jacinth::http
