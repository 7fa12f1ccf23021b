#pragma once

#include <optional>
#include <string_view>

#include "core/forwarding/endpoint_notices.h"
#include "core/forwarding/rate_limit_notice.h"
#include "core/http/message.h"

namespace jacinth {

/// Reads what an answer says about its endpoint. `leaving_header` is the name
/// of the header by which an endpoint says that it leaves; the time to wait is
/// taken from `Retry-After` of an answer of status 503. A header that occurs
/// twice is malformed.
forwarding::EndpointNotices ReadNotices(const http::Response& response,
                                        std::string_view leaving_header);

/// Reads the rate limit that an answer names. Returns nullopt, and adds it to
/// the malformed statements of `notices`, if it is malformed or occurs twice.
std::optional<forwarding::RateLimitNotice> ReadRateLimit(
    const http::Response& response,
    std::string_view limit_header,
    forwarding::EndpointNotices& notices);

}  // namespace jacinth
