#include "core/http/headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace jacinth::http {
namespace {

constexpr std::array<std::string_view, 19> kHopByHopFields = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    // Responses are forwarded complete and unmodified.
    "range",
    "accept-encoding",
    "content-encoding",
    // Added to received requests by cpp-httplib.
    "remote_addr",
    "remote_port",
    "local_addr",
    "local_port",
};

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string_view HeaderValue(const Headers& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualsIgnoringCase(field, name))
      return value;
  }
  return {};
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [&](std::string_view field) { return EqualsIgnoringCase(field, name); });
}

}  // namespace jacinth::http
