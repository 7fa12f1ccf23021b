#include "core/http/connection.h"

#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/raw_server.h"

namespace jacinth::http {
namespace {

using test::RawServer;

constexpr ExchangeLimits kLimits{1s, 2s, 1'000};

Request MakePostRequest() {
  Request request;
  request.method = "POST";
  request.target = "/x";
  request.body = "body";
  return request;
}

ExchangeEnd ExchangeEndFor(const std::string& raw_response, RawServer& server) {
  Connection connection(server.address());
  const ExchangeResult result = connection.Exchange(MakePostRequest(), kLimits);
  CHECK(server.request_count() == 1);
  CHECK((result.end == ExchangeEnd::kAnswered || !connection.IsOpen()));
  (void)raw_response;
  return result.end;
}

ExchangeEnd ExchangeEndFor(const std::string& raw_response) {
  RawServer server(raw_response);
  return ExchangeEndFor(raw_response, server);
}

}  // namespace

TEST_CASE("Connection sends a request once, regardless of the response") {
  CHECK(ExchangeEndFor("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") ==
        ExchangeEnd::kAnswered);
  CHECK(ExchangeEndFor("") == ExchangeEnd::kLost);
  CHECK(ExchangeEndFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok") ==
        ExchangeEnd::kIncomplete);
  CHECK(ExchangeEndFor("HTTP/1.1 307 Elsewhere\r\nLocation: /y\r\n"
                       "Content-Length: 0\r\n\r\n") == ExchangeEnd::kAnswered);
  CHECK(ExchangeEndFor(
            "HTTP/1.1 401 Who\r\nWWW-Authenticate: Digest realm=\"x\"\r\n"
            "Content-Length: 0\r\n\r\n") == ExchangeEnd::kAnswered);
}

TEST_CASE("Connection reports a response without a known end as incomplete") {
  CHECK(ExchangeEndFor("HTTP/1.1 200 OK\r\n\r\ncut anywhere") ==
        ExchangeEnd::kIncomplete);
  CHECK(ExchangeEndFor("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "5\r\nhel") == ExchangeEnd::kIncomplete);
}

TEST_CASE("Connection rejects a response above the size limit") {
  CHECK(ExchangeEndFor("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                       std::string(2'000, 'x')) == ExchangeEnd::kTooLarge);
}

TEST_CASE("Connection reports a refused connection as not connected") {
  std::string address;
  {
    const RawServer closed("");
    address = closed.address();
  }
  Connection connection(address);
  CHECK(connection.Exchange(MakePostRequest(), kLimits).end ==
        ExchangeEnd::kNotConnected);
}

}  // namespace jacinth::http
