#pragma once

#include <string>
#include <string_view>

namespace jacinth {

/// Returns the form in which hosts are compared: in lower case (RFC 9110,
/// section 4.2.3), without a port, without the brackets of an IPv6 address and
/// without the final dot of an absolute domain name. `host` is the value of a
/// Host header or a host in settings; malformed ones keep what can't be read.
std::string NormalizeHost(std::string_view host);

}  // namespace jacinth
