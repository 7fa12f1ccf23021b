#include "core/http/event_client.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/common/process_clock.h"
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

// Guards against bytes that leave by a decision from before the connection was
// opened (docs/incidents/home.md).
TEST_CASE("A request that may not be sent any more leaves no byte") {
  asio::io_context context;
  EventClient client(context, 4);
  test::RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  std::optional<ExchangeResult> ended;
  const bool may_send = GENERATE(true, false);
  ClientCall call;
  call.address = server.address();
  call.request.method = "GET";
  call.request.target = "/";
  call.limits = kLimits;
  call.may_send = [&] { return may_send; };
  client.Start(call, [&](ExchangeResult result) {
    ended = std::move(result);
    context.stop();
  });
  context.run();
  CHECK(ended.value().end ==
        (may_send ? ExchangeEnd::kAnswered : ExchangeEnd::kWithdrawn));
  CHECK(server.request_count() == (may_send ? 1 : 0));
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

namespace {

/// Accepts connections and sends `head`, then `piece` again and again until the
/// client closes the connection.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& context, std::string head, std::string piece)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        head_(std::move(head)),
        piece_(std::move(piece)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int open_connections() const { return open_connections_; }

 private:
  using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept() {
    acceptor_.async_accept([this](asio::error_code error,
                                  asio::ip::tcp::socket socket) {
      if (error)
        return;
      ++open_connections_;
      Send(std::make_shared<asio::ip::tcp::socket>(std::move(socket)), head_);
      Accept();
    });
  }

  void Send(const SocketPtr& socket, const std::string& bytes) {
    asio::async_write(*socket, asio::buffer(bytes),
                      [this, socket](asio::error_code error, std::size_t) {
                        if (error)
                          --open_connections_;
                        else
                          Send(socket, piece_);
                      });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string head_;
  std::string piece_;
  int open_connections_ = 0;
};

}  // namespace

// Guards against reading without end from endpoints in trouble, which took the
// memory of the whole instance.
TEST_CASE("Responses without end are closed within a limit on their bytes") {
  struct EndlessCase {
    std::string head;
    std::string piece;
  };
  const std::string kilobyte(1'024, 'x');
  const auto endless = GENERATE_COPY(
      EndlessCase{"HTTP/1.1 200 OK\r\n\r\n", kilobyte},
      EndlessCase{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "400\r\n" + kilobyte + "\r\n"},
      EndlessCase{"HTTP/1.1 200 OK\r\n", "X-More: " + kilobyte + "\r\n"},
      EndlessCase{"HTTP/1.1 200 OK\r\nX-One: ", kilobyte},
      EndlessCase{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
                  kilobyte},
      EndlessCase{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                  "X-More: " + kilobyte + "\r\n"},
      EndlessCase{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      EndlessCase{"", kilobyte});
  CAPTURE(endless.head, endless.piece);
  constexpr int kCalls = 6;
  constexpr std::size_t kLimit = 1UL << 20U;
  asio::io_context context;
  EndlessServer server(context, endless.head, endless.piece);
  EventClient client(context, 4);
  client.SetMaxBufferedBytes(kLimit);
  int ended = 0;
  for (int i = 0; i < kCalls; ++i) {
    ClientCall call;
    call.address = server.address();
    call.request.method = "GET";
    call.request.target = "/";
    // The body limit of each response alone would take all memory.
    call.limits = {1s, 10s, 64UL << 20U};
    client.Start(call, [&](const ExchangeResult& result) {
      CHECK(result.end == ExchangeEnd::kIncomplete);
      ++ended;
    });
  }
  const Time end = MonotonicNow() + 8s;
  std::size_t most_bytes = 0;
  while (MonotonicNow() < end &&
         (ended < kCalls || server.open_connections() > 0)) {
    context.run_one_for(10ms);
    most_bytes = std::max(most_bytes, client.buffered_bytes());
  }
  CHECK(ended == kCalls);
  CHECK(server.open_connections() == 0);
  CHECK(most_bytes <= kLimit + 4'096);
  CHECK(client.buffered_bytes() == 0);
}

// Guards against a response without end that takes the others with it.
TEST_CASE("A response without end leaves room for shorter ones") {
  asio::io_context context;
  EndlessServer endless(context, "HTTP/1.1 200 OK\r\n\r\n",
                        std::string(1'024, 'x'));
  const std::string body(20'000, 'y');
  test::RawServer whole("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" +
                        body);
  EventClient client(context, 4);
  client.SetMaxBufferedBytes(40'000);
  std::vector<ExchangeEnd> ends;
  const auto start = [&](const std::string& address) {
    ClientCall call;
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/";
    call.limits = {1s, 5s, 1UL << 20U};
    client.Start(call, [&](const ExchangeResult& result) {
      ends.push_back(result.end);
    });
  };
  start(endless.address());
  start(whole.address());
  const Time until = MonotonicNow() + 6s;
  while (ends.size() < 2 && MonotonicNow() < until)
    context.run_one_for(10ms);
  REQUIRE(ends.size() == 2);
  CHECK(std::count(ends.begin(), ends.end(), ExchangeEnd::kAnswered) == 1);
  CHECK(std::count(ends.begin(), ends.end(), ExchangeEnd::kIncomplete) == 1);
}

}  // namespace jacinth::http
