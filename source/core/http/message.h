#pragma once

#include <map>
#include <string>

#include "core/http/headers.h"

namespace jacinth::http {

/// A request as received or to be sent.
struct Request {
  std::string method;
  /// Path and query in their encoded form.
  std::string target;
  /// Decoded path, without the query. Only on received requests.
  std::string path;
  /// Decoded query. Only on received requests.
  std::multimap<std::string, std::string> query;
  Headers headers;
  std::string body;
};

/// A response as received or to be sent.
struct Response {
  int status = 200;
  Headers headers;
  std::string content_type;
  std::string body;
};

}  // namespace jacinth::http
