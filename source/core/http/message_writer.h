#pragma once

#include <string>

#include "core/http/message.h"

namespace jacinth::http {

/// Bytes of a request to send to `authority`, framed by a length. Fields of
/// `request` that concern the connection must have been removed.
std::string WriteRequest(const Request& request, const std::string& authority);

/// Bytes of an answer, framed by a length. `to_head` leaves the body out;
/// `close` announces that the connection ends with it.
std::string WriteResponse(const Response& response, bool to_head, bool close);

}  // namespace jacinth::http
