#pragma once

#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"

namespace jacinth::ctl {

/// Client of the HTTP APIs. Tries the servers in turn, follows redirects to the
/// leader, and retries temporary failures, such as a missing leader. Each retry
/// of a change carries the same idempotency key.
class ApiClient {
 public:
  ApiClient(std::vector<std::string> servers,
            std::string token,
            Duration timeout);

  /// Sends the request, with retries until the timeout. Returns a response with
  /// a status below 400, or the last error.
  Result<http::Response> Call(http::Request request);

 private:
  std::vector<std::string> servers_;
  std::string token_;
  Duration timeout_;
};

}  // namespace jacinth::ctl
