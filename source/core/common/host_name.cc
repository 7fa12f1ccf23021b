#include "core/common/host_name.h"

#include <algorithm>

namespace jacinth {
namespace {

// Independent of the locale, unlike std::tolower().
char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view WithoutPort(std::string_view host) {
  if (!host.empty() && host.front() == '[') {
    const std::size_t bracket = host.find(']');
    return bracket == std::string_view::npos ? host
                                             : host.substr(1, bracket - 1);
  }
  const std::size_t colon = host.find(':');
  const bool is_ipv6 = colon != host.rfind(':');
  return is_ipv6 ? host : host.substr(0, colon);
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string_view name = WithoutPort(host);
  if (name.size() > 1 && name.back() == '.')
    name.remove_suffix(1);
  std::string normalized(name);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 ToLowerAscii);
  return normalized;
}

}  // namespace jacinth
