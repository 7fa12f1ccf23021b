#include "core/http/event_client.h"

#include <optional>
#include <string>

#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "unit_tests/support/raw_server.h"

namespace jacinth::http {
namespace {

constexpr ExchangeLimits kLimits{1s, 2s, 1'024};

ExchangeResult Exchange(const std::string& address,
                        ExchangeLimits limits = kLimits) {
  asio::io_context context;
  EventClient client(context, 4);
  std::optional<ExchangeResult> ended;
  ClientCall call;
  call.address = address;
  call.request.method = "GET";
  call.request.target = "/";
  call.limits = limits;
  client.Start(call, [&](ExchangeResult result) {
    ended = std::move(result);
    context.stop();
  });
  context.run();
  return ended.value();
}

}  // namespace

TEST_CASE(
    "EventClient reports incomplete, oversized and missing responses as such") {
  struct ResponseCase {
    std::string raw_response;
    ExchangeEnd end;
  };
  const ResponseCase test_case = GENERATE(
      ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                   ExchangeEnd::kAnswered},
      ResponseCase{"HTTP/1.1 200 OK\r\n\r\nab", ExchangeEnd::kAnswered},
      ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
                   ExchangeEnd::kIncomplete},
      ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: "
                   "1\r\n\r\nab",
                   ExchangeEnd::kIncomplete},
      ResponseCase{"\x01\x02nonsense", ExchangeEnd::kIncomplete},
      ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
                   ExchangeEnd::kTooLarge},
      ResponseCase{"", ExchangeEnd::kLost});
  CAPTURE(test_case.raw_response);
  test::RawServer server(test_case.raw_response);
  CHECK(Exchange(server.address()).end == test_case.end);
}

TEST_CASE("EventClient skips interim responses") {
  test::RawServer server(
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "1\r\n\r\nx");
  const ExchangeResult result = Exchange(server.address());
  CHECK(result.end == ExchangeEnd::kAnswered);
  CHECK(result.response.status == 200);
}

TEST_CASE("Bytes after a response prevent reuse of its connection") {
  test::RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxmore");
  const ExchangeResult result = Exchange(server.address());
  CHECK(result.end == ExchangeEnd::kAnswered);
  CHECK_FALSE(result.reusable);
}

TEST_CASE("EventClient reports a refused connection as not connected") {
  std::string address;
  {
    test::RawServer server("");
    address = server.address();
  }
  CHECK(Exchange(address).end == ExchangeEnd::kNotConnected);
}

TEST_CASE("The end handler of a canceled call is not called") {
  asio::io_context context;
  EventClient client(context, 4);
  test::RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  bool ended = false;
  ClientCall call;
  call.address = server.address();
  call.request.method = "GET";
  call.request.target = "/";
  call.limits = kLimits;
  const CallId id =
      client.Start(call, [&](const ExchangeResult&) { ended = true; });
  client.Cancel(id);
  context.run();
  CHECK_FALSE(ended);
}

}  // namespace jacinth::http
