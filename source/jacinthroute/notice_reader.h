#pragma once

#include <string_view>

#include "core/forwarding/endpoint_notices.h"
#include "core/http/message.h"

namespace jacinth {

/// Reads what an answer says about its endpoint. `leaving_header` is the name
/// of the header by which an endpoint says that it leaves; the time to wait is
/// taken from `Retry-After` of an answer of status 503. A header that occurs
/// twice is malformed.
forwarding::EndpointNotices ReadNotices(const http::Response& response,
                                        std::string_view leaving_header);

}  // namespace jacinth
