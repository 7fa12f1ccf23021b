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

bool IsToken(std::string_view name) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [&](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  kTokenSymbols.find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

bool IsControlCharacter(char c) {
  return std::iscntrl(static_cast<unsigned char>(c)) != 0 && c != '\t';
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [&](std::string_view field) { return EqualsIgnoringCase(field, name); });
}

}  // namespace jacinth::http
