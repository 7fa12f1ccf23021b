#include "core/http/event_server.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "unit_tests/support/port_reservation.h"
#include "unit_tests/support/raw_server.h"

namespace jacinth::http {
namespace {

/// Runs an EventServer on its own thread, which also calls `handler`.
class ServerThread {
 public:
  explicit ServerThread(EventServer::Handler handler,
                        EventServerLimits limits = {})
      : ports_(1),
        address_("127.0.0.1:" + std::to_string(ports_.ports()[0])),
        server_(context_, std::move(handler)) {
    server_.SetLimits(limits);
    REQUIRE(server_.Listen(address_));
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ServerThread() {
    asio::post(context_, [this] { server_.Stop(); });
    context_.stop();
    thread_.join();
  }

  const std::string& address() const { return address_; }
  bool finished() const { return finished_; }

  /// Calls EventServer::Finish().
  void Finish() {
    asio::post(context_,
               [this] { server_.Finish([this] { finished_ = true; }); });
  }

 private:
  test::PortReservation ports_;
  std::string address_;
  asio::io_context context_;
  EventServer server_;
  std::atomic<bool> finished_{false};
  std::thread thread_;
};

void EchoPathAndBody(const std::shared_ptr<Transaction>& transaction) {
  Response response;
  response.body =
      transaction->request().path + ":" + transaction->request().body;
  transaction->Respond(std::move(response));
}

const std::string kGetRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("Pipelined requests are answered in order") {
  ServerThread server(EchoPathAndBody);
  const std::string received = test::ExchangeRawBytes(
      server.address(),
      kGetRequest +
          "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: "
          "2\r\nConnection: close\r\n\r\nxy",
      2);
  const std::size_t first = received.find("/a:");
  const std::size_t second = received.find("/b:xy");
  CHECK(first != std::string::npos);
  CHECK(second != std::string::npos);
  CHECK(first < second);
}

TEST_CASE("Ambiguous framing is answered with 400 and closes the connection") {
  std::atomic<int> handled{0};
  ServerThread server([&](const std::shared_ptr<Transaction>& transaction) {
    ++handled;
    EchoPathAndBody(transaction);
  });
  // A server that used the first length would handle the rest as a second
  // request.
  const std::string received = test::ExchangeRawBytes(
      server.address(),
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: "
      "40\r\n\r\n" +
          kGetRequest,
      2);
  CHECK(received.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(received.find("Connection: close") != std::string::npos);
  CHECK(handled == 0);
}

TEST_CASE("A Content-Length above the limit is answered with 413 at once") {
  EventServerLimits limits;
  limits.max_body_bytes = 10;
  ServerThread server(EchoPathAndBody, limits);
  CHECK(test::ExchangeRawBytes(server.address(),
                               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                               "11\r\n\r\n")
            .rfind("HTTP/1.1 413", 0) == 0);
}

TEST_CASE("The error response to a malformed request can be customized") {
  test::PortReservation ports(1);
  const std::string address = "127.0.0.1:" + std::to_string(ports.ports()[0]);
  asio::io_context context;
  EventServer server(context, EchoPathAndBody);
  server.SetErrorResponder([](int status, const std::string& detail) {
    Response response;
    response.status = status;
    response.body = "custom error: " + detail;
    return response;
  });
  REQUIRE(server.Listen(address));
  std::thread thread([&] { context.run(); });
  const std::string received =
      test::ExchangeRawBytes(address, "nonsense\r\n\r\n");
  context.stop();
  thread.join();
  CHECK(received.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(received.find("custom error: ") != std::string::npos);
}

TEST_CASE("An incomplete request head is answered with 408 after the timeout") {
  EventServerLimits limits;
  limits.head_timeout = 50ms;
  ServerThread server(EchoPathAndBody, limits);
  CHECK(test::ExchangeRawBytes(server.address(), "GET /a HTTP/1.1\r\nHo")
            .rfind("HTTP/1.1 408", 0) == 0);
}

TEST_CASE("A caller that disconnects before the response is reported") {
  std::atomic<bool> disconnected{false};
  std::vector<std::shared_ptr<Transaction>> held_transactions;
  {
    ServerThread server([&](const std::shared_ptr<Transaction>& transaction) {
      held_transactions.push_back(transaction);
      transaction->OnDisconnect([&] { disconnected = true; });
    });
    // Closes the connection after the request, without waiting for a response.
    test::ExchangeRawBytes(server.address(), kGetRequest, 0);
    for (int i = 0; i < 500 && !disconnected; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(disconnected);
  }
  held_transactions.clear();
}

TEST_CASE("A transaction destroyed without a response closes its connection") {
  ServerThread server([](const std::shared_ptr<Transaction>&) {});
  CHECK(test::ExchangeRawBytes(server.address(), kGetRequest).empty());
}

// Guards against cutting answers that callers are receiving when the process
// stops.
TEST_CASE("A server that finishes lets callers receive their responses") {
  constexpr std::size_t kBodyBytes = 16UL << 20U;
  std::atomic<bool> responded{false};
  ServerThread server([&](const std::shared_ptr<Transaction>& transaction) {
    Response response;
    response.body.assign(kBodyBytes, 'x');
    transaction->Respond(std::move(response));
    responded = true;
  });
  asio::io_context context;
  asio::ip::tcp::socket caller(context);
  const std::size_t colon = server.address().find(':');
  caller.connect({asio::ip::make_address(server.address().substr(0, colon)),
                  static_cast<unsigned short>(
                      std::stoi(server.address().substr(colon + 1)))});
  asio::write(caller, asio::buffer(kGetRequest));
  while (!responded)
    std::this_thread::sleep_for(1ms);
  server.Finish();
  std::this_thread::sleep_for(100ms);
  CHECK_FALSE(server.finished());
  std::string received;
  asio::error_code error;
  asio::read(caller, asio::dynamic_buffer(received), error);
  CHECK(error == asio::error::eof);
  CHECK(received.size() > kBodyBytes);
  caller.close();
  for (int i = 0; i < 500 && !server.finished(); ++i)
    std::this_thread::sleep_for(10ms);
  CHECK(server.finished());
}

// Guards against closing the connection of a caller that is sending a request
// without an answer when the process stops.
TEST_CASE("A server that finishes refuses requests that it receives in part") {
  ServerThread server(EchoPathAndBody);
  std::string received;
  std::thread caller([&] {
    received = test::ExchangeRawBytes(
        server.address(),
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  });
  std::this_thread::sleep_for(200ms);
  server.Finish();
  caller.join();
  CHECK(received.rfind("HTTP/1.1 503", 0) == 0);
}

}  // namespace jacinth::http
