#include "core/http/server.h"

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <memory>
#include <thread>
#include <utility>

#include <sys/socket.h>

#include "core/common/process_clock.h"
#include "core/http/address.h"
#include "core/http/bounded_pool.h"
#include "core/http/connection_parker.h"
#include "core/http/problem.h"
#include "core/http/server_connection.h"
#include "core/http/status.h"

namespace jacinth::http {
namespace {

constexpr std::size_t kMaxKeptRequests = 1'000'000;
constexpr std::size_t kMaxHeaders = 100;
constexpr int kBacklog = 1'024;
constexpr const char* kAnyPath = R"([\s\S]*)";

// Runs the tasks of cpp-httplib on a bounded thread pool.
class PoolQueue : public httplib::TaskQueue {
 public:
  explicit PoolQueue(BoundedPool& pool) : pool_(pool) {}

  void enqueue(std::function<void()> task) override {
    pool_.Add(std::move(task));
  }
  void shutdown() override { pool_.Stop(); }

 private:
  BoundedPool& pool_;
};

Request Convert(const httplib::Request& in) {
  Request out;
  out.method = in.method;
  out.target = in.target;
  out.path = in.path;
  for (const auto& [name, value] : in.params)
    out.query.emplace(name, value);
  for (const auto& [name, value] : in.headers)
    out.headers.emplace_back(name, value);
  return out;
}

void Fill(httplib::Response& out, const Response& in) {
  out.status = in.status;
  for (const auto& [name, value] : in.headers)
    out.set_header(name, value);
  if (in.content_type.empty())
    out.body = in.body;
  else
    out.set_content(in.body, in.content_type);
}

bool HasBody(const httplib::Request& request) {
  return request.has_header("Content-Length") ||
         request.has_header("Transfer-Encoding");
}

Error ErrorOfStatus(int status) {
  switch (status) {
    case 404:
      return {ErrorKind::kUnknownPath, "no such path or method"};
    case kStatusContentTooLarge:
      return {ErrorKind::kBodyTooLarge,
              "the request body exceeds the size limit"};
    case 414:
      return {ErrorKind::kBadRequest, "the target is too long"};
    default:
      return {ErrorKind::kBadRequest, "not a well-formed HTTP request"};
  }
}

// Occupies a thread per request instead of per connection.
class ParkingServer : public httplib::Server {
 public:
  ParkingServer(const ServerOptions& options, BoundedPool& pool)
      : options_(options),
        pool_(pool),
        parker_(options.idle_timeout,
                [this](std::shared_ptr<ServerConnection> connection) {
                  Dispatch(std::move(connection));
                }) {}

  /// Makes each further request the last one of its connection.
  void BeginStop() {
    stopping_ = true;
    parker_.Stop();
  }

  // cpp-httplib listens with a backlog of five. Further callers of a burst
  // would wait a second until their system retransmits the SYN.
  bool DeepenBacklog() { return ::listen(svr_sock_, kBacklog) == 0; }

  bool IsFull() const { return open_connections_ > options_.max_connections; }

 private:
  bool process_and_close_socket(socket_t socket) override {
    Continue(std::make_shared<ServerConnection>(socket, options_.read_timeout,
                                                open_connections_));
    return true;
  }

  void Dispatch(std::shared_ptr<ServerConnection> connection) {
    pool_.Add(
        [this, connection = std::move(connection)] { Serve(connection); });
  }

  // Serves a request that has arrived, or waits for one without a thread.
  void Continue(std::shared_ptr<ServerConnection> connection) {
    if (stopping_)
      return;
    if (connection->HasInput())
      Serve(connection);
    else
      parker_.Park(std::move(connection));
  }

  void Serve(const std::shared_ptr<ServerConnection>& connection) {
    connection->StartRequest(MonotonicNow());
    const bool last = stopping_ || IsFull() || BoundedPool::IsOverflowThread();
    bool closed = false;
    const bool served = process_request(*connection, last, closed, nullptr);
    if (!served || closed || last || stopping_)
      return;
    if (connection->HasInput())
      Dispatch(connection);
    else
      parker_.Park(connection);
  }

  const ServerOptions& options_;
  BoundedPool& pool_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> open_connections_{0};
  ConnectionParker parker_;
};

}  // namespace

struct Server::Impl {
  Impl(ServerOptions server_options, Handler server_handler)
      : options(std::move(server_options)),
        handler(std::move(server_handler)),
        pool(options.threads, options.max_waiting),
        server(options, pool) {}

  void Configure() {
    server.new_task_queue = [this] { return new PoolQueue(pool); };
    server.set_keep_alive_max_count(kMaxKeptRequests);
    server.set_payload_max_length(options.max_body_bytes);
    server.set_tcp_nodelay(true);
    // cpp-httplib would also set SO_REUSEPORT, which lets a second process bind
    // the same port and take half of the connections unnoticed.
    server.set_socket_options([](socket_t socket) {
      const int yes = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    const auto plain = [this](const httplib::Request& request,
                              httplib::Response& response) {
      Serve(request, "", response);
    };
    const auto with_body = [this](const httplib::Request& request,
                                  httplib::Response& response,
                                  const httplib::ContentReader& reader) {
      // A request without a length has no body (RFC 9112, 6.3), but cpp-httplib
      // would read until the caller closes the connection.
      if (!HasBody(request)) {
        Serve(request, "", response);
        return;
      }
      std::string body;
      bool fits = true;
      const bool read = reader([&](const char* data, std::size_t size) {
        fits = body.size() + size <= options.max_body_bytes;
        if (fits)
          body.append(data, size);
        return fits;
      });
      // cpp-httplib sets the status if Content-Length exceeds the limit.
      if (!fits || response.status == kStatusContentTooLarge) {
        Fill(response, ProblemResponse(ErrorOfStatus(kStatusContentTooLarge)));
        return;
      }
      if (!read) {
        Fill(response, ProblemResponse({ErrorKind::kBadRequest,
                                        "the request body is truncated"}));
        return;
      }
      Serve(request, std::move(body), response);
    };
    server.Get(kAnyPath, plain);
    server.Options(kAnyPath, plain);
    server.Post(kAnyPath, with_body);
    server.Put(kAnyPath, with_body);
    server.Patch(kAnyPath, with_body);
    server.Delete(kAnyPath, with_body);
    const httplib::Server::HandlerWithResponse on_error =
        [](const httplib::Request&, httplib::Response& response) {
          if (response.body.empty() && !response.has_header("Jacinth-Outcome"))
            Fill(response, ProblemResponse(ErrorOfStatus(response.status)));
          return httplib::Server::HandlerResponse::Handled;
        };
    server.set_error_handler(on_error);
    server.set_exception_handler([](const httplib::Request&,
                                    httplib::Response& response,
                                    const std::exception_ptr&) {
      Fill(response,
           ProblemResponse({ErrorKind::kInternal, "unexpected exception"}));
    });
  }

  void Serve(const httplib::Request& in,
             std::string body,
             httplib::Response& out) {
    // Ignores range requests: cpp-httplib would reduce the response to the
    // requested ranges.
    const_cast<httplib::Request&>(in).ranges.clear();
    if (BoundedPool::IsOverflowThread() || server.IsFull()) {
      out.set_header("Retry-After", "1");
      Fill(out, ProblemResponse({ErrorKind::kOverloaded,
                                 "too many connections or queued requests"}));
      return;
    }
    if (in.headers.size() > kMaxHeaders) {
      Fill(out,
           ProblemResponse({ErrorKind::kBadRequest, "too many header fields"}));
      return;
    }
    Request request = Convert(in);
    request.body = std::move(body);
    Fill(out, handler(request));
  }

  ServerOptions options;
  Handler handler;
  BoundedPool pool;
  ParkingServer server;
  std::thread accept_thread;
  int port = 0;
};

Server::Server(ServerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

Server::~Server() {
  Stop();
}

Result<void> Server::Start() {
  const auto address = ParseAddress(impl_->options.address);
  if (!address)
    return tl::unexpected(address.error());
  impl_->Configure();
  ParkingServer& server = impl_->server;
  if (address->port == 0) {
    impl_->port = server.bind_to_any_port(address->host);
  } else if (server.bind_to_port(address->host, address->port)) {
    impl_->port = address->port;
  }
  if (impl_->port <= 0 || !server.DeepenBacklog()) {
    return Fail(ErrorKind::kInternal,
                "failed to listen on " + impl_->options.address);
  }
  impl_->accept_thread = std::thread([&server] { server.listen_after_bind(); });
  while (!server.is_running())
    std::this_thread::yield();
  return {};
}

void Server::Stop() {
  if (!impl_->accept_thread.joinable())
    return;
  impl_->server.BeginStop();
  impl_->server.stop();
  impl_->accept_thread.join();
}

int Server::port() const {
  return impl_->port;
}

std::size_t Server::waiting() const {
  return impl_->pool.queued();
}

}  // namespace jacinth::http
