#include "core/http/message_size.h"

namespace jacinth::http {
namespace {

/// Size of the parts of a first line that don't vary, such as the version.
constexpr std::size_t kFirstLineBytes = 15;
/// Size of the separators of a header field.
constexpr std::size_t kFieldSeparatorBytes = 4;

std::size_t HeadersSize(const Headers& headers) {
  std::size_t size = kFirstLineBytes;
  for (const auto& [name, value] : headers)
    size += name.size() + value.size() + kFieldSeparatorBytes;
  return size;
}

}  // namespace

std::size_t MessageSize(const Request& request) {
  return request.method.size() + request.target.size() +
         HeadersSize(request.headers) + request.body.size();
}

std::size_t MessageSize(const Response& response) {
  return HeadersSize(response.headers) + response.body.size();
}

}  // namespace jacinth::http
