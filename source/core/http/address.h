#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"

namespace jacinth::http {

/// An IP address and a TCP port.
struct Address {
  std::string host;
  int port = 0;
};

/// Parses `ip:port`. Fails with kBadRequest if the port is missing or not
/// from 0 to 65535.
Result<Address> ParseAddress(std::string_view text);

}  // namespace jacinth::http
