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
#include "core/http/bounded_thread_pool.h"
#include "core/http/idle_connection_watcher.h"
#include "core/http/problem.h"
#include "core/http/server_connection.h"
#include "core/http/status.h"

namespace jacinth::http {
namespace {

constexpr std::size_t kMaxRequestsPerConnection = 1'000'000;
constexpr std::size_t kMaxHeaderFields = 100;
constexpr int kListenBacklog = 1'024;
constexpr const char* kAnyPath = R"([\s\S]*)";

// Runs the tasks of cpp-httplib on a bounded thread pool.
class PoolTaskQueue : public httplib::TaskQueue {
 public:
  explicit PoolTaskQueue(BoundedThreadPool& pool) : pool_(pool) {}

  void enqueue(std::function<void()> task) override {
    pool_.Add(std::move(task));
  }
  void shutdown() override { pool_.Stop(); }

 private:
  BoundedThreadPool& pool_;
};

Request ToRequest(const httplib::Request& in) {
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

void CopyResponse(httplib::Response& out, const Response& in) {
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

Error ErrorFromStatus(int status) {
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

// Occupies a thread per request, instead of per connection as cpp-httplib does.
class ThreadPerRequestServer : public httplib::Server {
 public:
  ThreadPerRequestServer(const ServerOptions& options, BoundedThreadPool& pool)
      : options_(options),
        pool_(pool),
        idle_watcher_(options.idle_timeout,
                      [this](std::shared_ptr<ServerConnection> connection) {
                        Dispatch(std::move(connection));
                      }) {}

  /// Makes each further request the last one of its connection.
  void BeginStop() {
    stopping_ = true;
    idle_watcher_.Stop();
  }

  // cpp-httplib listens with a backlog of five. In a burst of connections,
  // further callers would wait a second until their system retransmits the SYN.
  bool RaiseListenBacklog() { return ::listen(svr_sock_, kListenBacklog) == 0; }

  bool IsFull() const { return open_connections_ > options_.max_connections; }

 private:
  bool process_and_close_socket(socket_t socket) override {
    ServeOrWatch(std::make_shared<ServerConnection>(
        socket, options_.read_timeout, open_connections_));
    return true;
  }

  void Dispatch(std::shared_ptr<ServerConnection> connection) {
    pool_.Add(
        [this, connection = std::move(connection)] { Serve(connection); });
  }

  // Serves a request if input is available. Otherwise watches the connection,
  // which occupies no thread.
  void ServeOrWatch(std::shared_ptr<ServerConnection> connection) {
    if (stopping_)
      return;
    if (connection->HasInput())
      Serve(connection);
    else
      idle_watcher_.Watch(std::move(connection));
  }

  void Serve(const std::shared_ptr<ServerConnection>& connection) {
    connection->StartRequestTimeout(MonotonicNow());
    const bool last_request =
        stopping_ || IsFull() || BoundedThreadPool::IsOverflowThread();
    bool closed = false;
    const bool served =
        process_request(*connection, last_request, closed, nullptr);
    if (!served || closed || last_request || stopping_)
      return;
    if (connection->HasInput())
      Dispatch(connection);
    else
      idle_watcher_.Watch(connection);
  }

  const ServerOptions& options_;
  BoundedThreadPool& pool_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> open_connections_{0};
  IdleConnectionWatcher idle_watcher_;
};

}  // namespace

struct Server::Impl {
  Impl(ServerOptions server_options, Handler server_handler)
      : options(std::move(server_options)),
        handler(std::move(server_handler)),
        pool(options.threads, options.max_queued_requests),
        server(options, pool) {}

  void Configure() {
    server.new_task_queue = [this] { return new PoolTaskQueue(pool); };
    server.set_keep_alive_max_count(kMaxRequestsPerConnection);
    server.set_payload_max_length(options.max_body_bytes);
    server.set_tcp_nodelay(true);
    // cpp-httplib would also set SO_REUSEPORT, which lets a second process bind
    // the same port and take half of the connections unnoticed.
    server.set_socket_options([](socket_t socket) {
      const int enabled = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    const auto without_body = [this](const httplib::Request& request,
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
      const bool received = reader([&](const char* data, std::size_t size) {
        fits = body.size() + size <= options.max_body_bytes;
        if (fits)
          body.append(data, size);
        return fits;
      });
      // cpp-httplib sets the status if Content-Length exceeds the limit.
      if (!fits || response.status == kStatusContentTooLarge) {
        CopyResponse(response,
                     ProblemResponse(ErrorFromStatus(kStatusContentTooLarge)));
        return;
      }
      if (!received) {
        CopyResponse(response,
                     ProblemResponse({ErrorKind::kBadRequest,
                                      "the request body is incomplete"}));
        return;
      }
      Serve(request, std::move(body), response);
    };
    server.Get(kAnyPath, without_body);
    server.Options(kAnyPath, without_body);
    server.Post(kAnyPath, with_body);
    server.Put(kAnyPath, with_body);
    server.Patch(kAnyPath, with_body);
    server.Delete(kAnyPath, with_body);
    const httplib::Server::HandlerWithResponse on_error =
        [](const httplib::Request&, httplib::Response& response) {
          if (response.body.empty() && !response.has_header("Jacinth-Outcome"))
            CopyResponse(response,
                         ProblemResponse(ErrorFromStatus(response.status)));
          return httplib::Server::HandlerResponse::Handled;
        };
    server.set_error_handler(on_error);
    server.set_exception_handler([](const httplib::Request&,
                                    httplib::Response& response,
                                    const std::exception_ptr&) {
      CopyResponse(response, ProblemResponse({ErrorKind::kInternal,
                                              "unexpected exception"}));
    });
  }

  void Serve(const httplib::Request& in,
             std::string body,
             httplib::Response& out) {
    // Ignores range requests: cpp-httplib would reduce the response to the
    // requested ranges.
    const_cast<httplib::Request&>(in).ranges.clear();
    if (BoundedThreadPool::IsOverflowThread() || server.IsFull()) {
      out.set_header("Retry-After", "1");
      CopyResponse(
          out, ProblemResponse({ErrorKind::kOverloaded,
                                "too many connections or queued requests"}));
      return;
    }
    if (in.headers.size() > kMaxHeaderFields) {
      CopyResponse(out, ProblemResponse({ErrorKind::kBadRequest,
                                         "too many header fields"}));
      return;
    }
    Request request = ToRequest(in);
    request.body = std::move(body);
    CopyResponse(out, handler(request));
  }

  ServerOptions options;
  Handler handler;
  BoundedThreadPool pool;
  ThreadPerRequestServer server;
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
  ThreadPerRequestServer& server = impl_->server;
  if (address->port == 0) {
    impl_->port = server.bind_to_any_port(address->host);
  } else if (server.bind_to_port(address->host, address->port)) {
    impl_->port = address->port;
  }
  if (impl_->port <= 0 || !server.RaiseListenBacklog()) {
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

std::size_t Server::queued_requests() const {
  return impl_->pool.queued_tasks();
}

}  // namespace jacinth::http
