#include "core/http/server.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "core/http/connection.h"
#include "unit_tests/support/raw_server.h"

namespace jacinth::http {
namespace {

using test::ExchangeRawBytes;

class TestServer {
 public:
  explicit TestServer(ServerOptions options, Server::Handler handler)
      : server_(
            [&] {
              options.address = "127.0.0.1:0";
              return options;
            }(),
            std::move(handler)) {
    REQUIRE(server_.Start());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  Server& server() { return server_; }

 private:
  Server server_;
};

Response Echo(const Request& request) {
  Response response;
  response.content_type = "text/plain";
  response.body = request.method + " " + request.target + " " + request.body;
  return response;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE(
    "Malformed requests get a problem response and don't stop the server") {
  ServerOptions options;
  options.max_body_bytes = 100;
  TestServer test_server(options, Echo);
  const std::string address = test_server.address();
  CHECK(Contains(ExchangeRawBytes(address, "nonsense\r\n\r\n"), "400"));
  CHECK(Contains(ExchangeRawBytes(address,
                                  "GET /" + std::string(9'000, 'x') +
                                      " HTTP/1.1\r\nConnection: close\r\n\r\n",
                                  2),
                 "the target is too long"));
  CHECK(Contains(ExchangeRawBytes(address,
                                  "POST / HTTP/1.1\r\nContent-Length: 5000\r\n"
                                  "Connection: close\r\n\r\n" +
                                      std::string(5'000, 'x'),
                                  2),
                 "body_too_large"));
  CHECK(
      Contains(ExchangeRawBytes(
                   address, "BREW / HTTP/1.1\r\nConnection: close\r\n\r\n", 2),
               "bad_request"));
  // The server still handles requests.
  CHECK(
      Contains(ExchangeRawBytes(
                   address, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", 2),
               "GET /a"));
}

TEST_CASE("A POST without a length has no body") {
  TestServer test_server({}, Echo);
  CHECK(Contains(
      ExchangeRawBytes(test_server.address(),
                       "POST /a HTTP/1.1\r\nConnection: close\r\n\r\n", 2),
      "POST /a "));
}

TEST_CASE("Pipelined requests on one connection are all answered") {
  TestServer test_server({}, Echo);
  const std::string received =
      ExchangeRawBytes(test_server.address(),
                       "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
                       "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n",
                       4);
  CHECK(Contains(received, "GET /1"));
  CHECK(Contains(received, "GET /2"));
  CHECK(Contains(received, "GET /3"));
}

TEST_CASE("Idle connections occupy no thread") {
  ServerOptions options;
  options.threads = 2;
  options.idle_timeout = 60s;
  TestServer test_server(options, Echo);
  Request request;
  request.method = "GET";
  request.target = "/";
  const ExchangeLimits limits{1s, 2s, 1'000};
  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < 20; ++i) {
    connections.push_back(std::make_unique<Connection>(test_server.address()));
    REQUIRE(connections.back()->Exchange(request, limits).end ==
            ExchangeEnd::kAnswered);
  }
  for (const auto& connection : connections) {
    REQUIRE(connection->IsOpen());
    REQUIRE(connection->Exchange(request, limits).end ==
            ExchangeEnd::kAnswered);
  }
}

TEST_CASE("A full server refuses requests with the outcome not-run") {
  std::atomic<bool> started{false};
  std::atomic<bool> release{false};
  ServerOptions options;
  options.threads = 1;
  options.max_queued_requests = 1;
  TestServer test_server(options, [&](const Request& request) {
    started = true;
    while (!release)
      std::this_thread::yield();
    return Echo(request);
  });
  Request request;
  request.method = "GET";
  request.target = "/";
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(6);
  const auto add_caller = [&] {
    callers.emplace_back([&] {
      Connection connection(test_server.address());
      const auto result = connection.Exchange(request, {1s, 10s, 1'000});
      if (result.response.status == 200)
        ++answered;
      if (result.response.status == 503 &&
          HeaderValue(result.response.headers, "Jacinth-Outcome") == "not-run")
        ++refused;
    });
  };
  // The others are sent only once one request runs and one is queued.
  add_caller();
  while (!started)
    std::this_thread::yield();
  add_caller();
  while (test_server.server().queued_requests() != 1)
    std::this_thread::yield();
  for (int i = 0; i < 4; ++i)
    add_caller();
  while (refused < 4)
    std::this_thread::yield();
  release = true;
  for (std::thread& caller : callers)
    caller.join();
  CHECK(answered == 2);
  CHECK(refused == 4);
}

TEST_CASE("Stop completes the request in flight") {
  std::atomic<bool> started{false};
  TestServer test_server({}, [&](const Request& request) {
    started = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return Echo(request);
  });
  Request request;
  request.method = "GET";
  request.target = "/";
  ExchangeResult result;
  std::thread caller([&] {
    Connection connection(test_server.address());
    result = connection.Exchange(request, {1s, 5s, 1'000});
  });
  while (!started)
    std::this_thread::yield();
  test_server.server().Stop();
  caller.join();
  CHECK(result.end == ExchangeEnd::kAnswered);
}

}  // namespace jacinth::http
