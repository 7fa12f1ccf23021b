#pragma once

#include <string>

#include "core/http/message.h"

namespace jacinth::http {

/// Serializes a request. Adds a Host field with `authority` if the request has
/// none, and a Content-Length field if it has a body or a method that implies
/// one. Connection-specific fields must have been removed from `request`.
std::string WriteRequest(const Request& request, const std::string& authority);

/// Serializes a response with a Content-Length field, unless its status forbids
/// a body. Omits the body if `to_head_request` is true, and adds
/// `Connection: close` if `close` is true.
std::string WriteResponse(const Response& response,
                          bool to_head_request,
                          bool close);

}  // namespace jacinth::http
