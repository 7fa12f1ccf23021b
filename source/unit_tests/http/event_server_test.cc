#include "core/http/event_server.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "unit_tests/support/port_reservation.h"
#include "unit_tests/support/raw_server.h"

namespace jacinth::http {
namespace {

/// An EventServer on a thread of its own. `handle` runs on that thread.
class ServerThread {
 public:
  explicit ServerThread(EventServer::Handler handle,
                        EventServerLimits limits = {})
      : ports_(1),
        address_("127.0.0.1:" + std::to_string(ports_.ports()[0])),
        server_(context_, std::move(handle)) {
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

 private:
  test::PortReservation ports_;
  std::string address_;
  asio::io_context context_;
  EventServer server_;
  std::thread thread_;
};

void AnswerBody(const std::shared_ptr<Transaction>& request) {
  Response response;
  response.body = request->request().path + ":" + request->request().body;
  request->Respond(std::move(response));
}

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("Requests sent at once are answered in order") {
  ServerThread server(AnswerBody);
  const std::string talk =
      test::Talk(server.address(),
                 kGet +
                     "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: "
                     "2\r\nConnection: close\r\n\r\nxy",
                 2);
  const std::size_t first = talk.find("/a:");
  const std::size_t second = talk.find("/b:xy");
  CHECK(first != std::string::npos);
  CHECK(second != std::string::npos);
  CHECK(first < second);
}

TEST_CASE("Ambiguous framing is answered 400 and ends the connection") {
  std::atomic<int> handled{0};
  ServerThread server([&](const std::shared_ptr<Transaction>& request) {
    ++handled;
    AnswerBody(request);
  });
  // Were the first length believed, the rest would be a request of its own.
  const std::string talk = test::Talk(
      server.address(),
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: "
      "40\r\n\r\n" +
          kGet,
      2);
  CHECK(talk.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(talk.find("Connection: close") != std::string::npos);
  CHECK(handled == 0);
}

TEST_CASE("A body that is announced too large is answered 413 at once") {
  EventServerLimits limits;
  limits.max_body_bytes = 10;
  ServerThread server(AnswerBody, limits);
  CHECK(test::Talk(server.address(),
                   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                   "11\r\n\r\n")
            .rfind("HTTP/1.1 413", 0) == 0);
}

TEST_CASE("A request that can't be read is answered in the interface's form") {
  test::PortReservation ports(1);
  const std::string address = "127.0.0.1:" + std::to_string(ports.ports()[0]);
  asio::io_context context;
  EventServer server(context, AnswerBody);
  server.SetRefuser([](int status, const std::string& why) {
    Response response;
    response.status = status;
    response.body = "own form: " + why;
    return response;
  });
  REQUIRE(server.Listen(address));
  std::thread thread([&] { context.run(); });
  const std::string talk = test::Talk(address, "nonsense\r\n\r\n");
  context.stop();
  thread.join();
  CHECK(talk.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(talk.find("own form: ") != std::string::npos);
}

TEST_CASE("A head that doesn't arrive is answered 408") {
  EventServerLimits limits;
  limits.head_timeout = 50ms;
  ServerThread server(AnswerBody, limits);
  CHECK(test::Talk(server.address(), "GET /a HTTP/1.1\r\nHo")
            .rfind("HTTP/1.1 408", 0) == 0);
}

TEST_CASE("A caller that leaves before its answer is noticed") {
  std::atomic<bool> gone{false};
  std::vector<std::shared_ptr<Transaction>> held;
  {
    ServerThread server([&](const std::shared_ptr<Transaction>& request) {
      held.push_back(request);
      request->OnGone([&] { gone = true; });
    });
    // No answer is waited for: the connection is closed after the request.
    test::Talk(server.address(), kGet, 0);
    for (int i = 0; i < 500 && !gone; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(gone);
  }
  held.clear();
}

TEST_CASE("A request dropped without an answer closes its connection") {
  ServerThread server([](const std::shared_ptr<Transaction>&) {});
  CHECK(test::Talk(server.address(), kGet).empty());
}

}  // namespace jacinth::http
