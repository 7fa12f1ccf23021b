#include "core/http/address.h"

#include <charconv>

namespace jacinth::http {
namespace {

constexpr int kMaxPort = 65535;

}  // namespace

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return Fail(ErrorKind::kBadRequest,
                "missing port in address " + std::string(text));
  const std::string_view digits = text.substr(colon + 1);
  Address address{std::string(text.substr(0, colon)), 0};
  const char* end = digits.data() + digits.size();
  const auto [parsed_end, error] =
      std::from_chars(digits.data(), end, address.port);
  const bool in_range = address.port >= 0 && address.port <= kMaxPort;
  if (error != std::errc() || parsed_end != end || !in_range)
    return Fail(ErrorKind::kBadRequest,
                "invalid port in address " + std::string(text));
  return address;
}

}  // namespace jacinth::http
