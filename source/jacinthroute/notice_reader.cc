#include "jacinthroute/notice_reader.h"

#include <algorithm>

#include "core/http/headers.h"
#include "core/http/status.h"

namespace jacinth {
namespace {

using forwarding::NoticeKind;

// Applies `parse` to the value of the header. Returns nullopt and adds `kind`
// to the malformed statements if there is no single, well-formed value.
template <typename Parse>
auto ReadNotice(const http::Headers& headers,
                std::string_view name,
                NoticeKind kind,
                const Parse& parse,
                forwarding::EndpointNotices& notices) {
  const auto count =
      std::count_if(headers.begin(), headers.end(), [&](const auto& field) {
        return http::EqualsIgnoringCase(field.first, name);
      });
  auto value = parse(http::HeaderValue(headers, name));
  if (count > 1)
    value.reset();
  if (count > 0 && !value)
    notices.unreadable.push_back(kind);
  return value;
}

}  // namespace

forwarding::EndpointNotices ReadNotices(const http::Response& response,
                                        std::string_view leaving_header) {
  forwarding::EndpointNotices notices;
  notices.leaving =
      ReadNotice(response.headers, leaving_header, NoticeKind::kLeaving,
                 forwarding::ParseLeaving, notices)
          .value_or(false);
  if (response.status == http::kStatusServiceUnavailable) {
    notices.wait =
        ReadNotice(response.headers, "Retry-After", NoticeKind::kWait,
                   forwarding::ParseWait, notices);
  }
  return notices;
}

std::optional<forwarding::RateLimitNotice> ReadRateLimit(
    const http::Response& response,
    std::string_view limit_header,
    forwarding::EndpointNotices& notices) {
  return ReadNotice(response.headers, limit_header, NoticeKind::kRateLimit,
                    forwarding::ParseRateLimitNotice, notices);
}

}  // namespace jacinth
