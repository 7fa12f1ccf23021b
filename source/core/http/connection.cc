#include "core/http/connection.h"

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <optional>
#include <utility>

#include "core/http/address.h"
#include "core/http/status.h"

namespace jacinth::http {
namespace {

using Clock = std::chrono::steady_clock;

bool AllowsBody(const std::string& method, int status) {
  return method != "HEAD" && status != kStatusNoContent &&
         status != kStatusNotModified;
}

// A response with neither a length nor chunks ends with the connection, so a
// truncated response can't be told from a complete one.
bool HasDelimitedBody(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         EqualsIgnoringCase(response.get_header_value("Transfer-Encoding"),
                            "chunked");
}

// cpp-httplib takes any three digits for a status, skips no interim response
// but 100, and accepts fields of any bytes.
bool IsValid(const httplib::Response& response) {
  return IsFinalStatus(response.status) &&
         std::all_of(response.headers.begin(), response.headers.end(),
                     [](const auto& field) {
                       const std::string& value = field.second;
                       return IsToken(field.first) &&
                              std::none_of(value.begin(), value.end(),
                                           IsControlCharacter);
                     });
}

Response ToResponse(const httplib::Response& in, std::string body) {
  Response out;
  out.status = in.status;
  out.body = std::move(body);
  for (const auto& [name, value] : in.headers) {
    if (EqualsIgnoringCase(name, "Content-Type"))
      out.content_type = value;
    else
      out.headers.emplace_back(name, value);
  }
  return out;
}

}  // namespace

struct Connection::Impl {
  explicit Impl(const Address& address) : client(address.host, address.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_follow_location(false);
    client.set_url_encode(false);
    client.set_compress(false);
    client.set_decompress(false);
  }

  httplib::Client client;
};

Connection::Connection(const std::string& address)
    : impl_(std::make_unique<Impl>(
          ParseAddress(address).value_or(Address{"127.0.0.1", 0}))) {}

Connection::~Connection() = default;

bool Connection::IsOpen() const {
  return impl_->client.is_socket_open() != 0;
}

ExchangeResult Connection::Exchange(const Request& request,
                                    const ExchangeLimits& limits) {
  httplib::Client& client = impl_->client;
  client.set_connection_timeout(std::max(limits.connect_timeout, 1000us));
  client.set_read_timeout(std::max(limits.timeout, 1000us));
  client.set_write_timeout(std::max(limits.timeout, 1000us));
  const auto deadline = Clock::now() + limits.timeout;

  std::string body;
  bool head_received = false;
  bool too_large = false;
  httplib::Request out;
  out.method = request.method;
  out.path = request.target;
  out.body = request.body;
  for (const auto& [name, value] : request.headers)
    out.headers.emplace(name, value);
  out.response_handler = [&](const httplib::Response&) {
    head_received = true;
    return true;
  };
  out.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                             std::uint64_t) {
    too_large = body.size() + size > limits.max_body_bytes;
    if (too_large || Clock::now() >= deadline)
      return false;
    body.append(data, size);
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool sent = client.send(out, response, error);

  ExchangeResult result;
  if (sent && error == httplib::Error::Success) {
    const bool complete =
        IsValid(response) && (!AllowsBody(request.method, response.status) ||
                              HasDelimitedBody(response));
    result.end = complete ? ExchangeEnd::kAnswered : ExchangeEnd::kIncomplete;
    if (complete)
      result.response = ToResponse(response, std::move(body));
  } else if (error == httplib::Error::Connection ||
             error == httplib::Error::ConnectionTimeout) {
    result.end = ExchangeEnd::kNotConnected;
  } else if (too_large) {
    result.end = ExchangeEnd::kTooLarge;
  } else if (Clock::now() >= deadline) {
    result.end = ExchangeEnd::kTimedOut;
  } else {
    result.end = head_received ? ExchangeEnd::kIncomplete : ExchangeEnd::kLost;
  }
  if (result.end != ExchangeEnd::kAnswered)
    client.stop();
  return result;
}

}  // namespace jacinth::http
