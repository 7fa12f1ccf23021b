#include "core/http/message_writer.h"

#include <http_parser.h>
#include <string_view>

#include "core/http/status.h"

namespace jacinth::http {
namespace {

void AppendField(std::string& out,
                 std::string_view name,
                 std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

}  // namespace

std::string WriteRequest(const Request& request, const std::string& authority) {
  std::string out;
  out.reserve(512 + request.body.size());
  out += request.method + " " + request.target + " HTTP/1.1\r\n";
  if (HeaderValue(request.headers, "Host").empty())
    AppendField(out, "Host", authority);
  for (const auto& [name, value] : request.headers)
    AppendField(out, name, value);
  const bool has_length = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
  if (has_length)
    AppendField(out, "Content-Length", std::to_string(request.body.size()));
  out += "\r\n";
  out += request.body;
  return out;
}

std::string WriteResponse(const Response& response,
                          bool to_head_request,
                          bool close) {
  std::string out;
  out.reserve(512 + response.body.size());
  out += "HTTP/1.1 " + std::to_string(response.status) + " ";
  out += http_status_str(static_cast<http_status>(response.status));
  out += "\r\n";
  if (!response.content_type.empty())
    AppendField(out, "Content-Type", response.content_type);
  for (const auto& [name, value] : response.headers)
    AppendField(out, name, value);
  const bool has_body = response.status != kStatusNoContent &&
                        response.status != kStatusNotModified;
  if (has_body)
    AppendField(out, "Content-Length", std::to_string(response.body.size()));
  if (close)
    AppendField(out, "Connection", "close");
  out += "\r\n";
  if (has_body && !to_head_request)
    out += response.body;
  return out;
}

}  // namespace jacinth::http
