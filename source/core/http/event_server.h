#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/memory_budget.h"
#include "core/http/transaction.h"

namespace jacinth::http {

/// Limits on the size and duration of callers' requests.
struct EventServerLimits {
  std::size_t max_head_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 64UL << 20U;
  /// Bound on the request bytes buffered by all connections together. A request
  /// whose body brings the total above it is answered with 503.
  std::size_t max_buffered_bytes = 96UL << 20U;
  /// Further connections are closed when they are accepted.
  std::size_t max_connections = 3'000;
  /// Bound on the time from the first byte of a request to the end of its head.
  Duration head_timeout = 5s;
  /// Longest pause between reads of a body, and bound on writing a response.
  Duration body_timeout = 10s;
  /// Idle time after which a persistent connection is closed.
  Duration idle_timeout = 15s;
};

class EventSession;

/// An HTTP/1.1 server on an event loop that handles one request at a time per
/// connection. Must be used on the thread of its io_context.
class EventServer {
 public:
  using Handler = std::function<void(std::shared_ptr<Transaction>)>;

  /// Builds the error response to a request that can't be processed, from the
  /// status and a description of the error.
  using ErrorResponder =
      std::function<Response(int status, const std::string& detail)>;

  EventServer(asio::io_context& context, Handler handler);
  ~EventServer();
  EventServer(const EventServer&) = delete;
  EventServer& operator=(const EventServer&) = delete;

  /// Binds `address` (`ip:port`) and starts accepting connections.
  Result<void> Listen(const std::string& address);

  /// Sets the budget that requests and responses count against as well. It
  /// must outlive the server.
  void SetMemoryBudget(MemoryBudget& budget) { budget_ = &budget; }

  /// Sets how error responses are built. By default they are plain text.
  void SetErrorResponder(ErrorResponder error_responder) {
    error_responder_ = std::move(error_responder);
  }

  /// Applies to requests that begin later.
  void SetLimits(const EventServerLimits& limits) { limits_ = limits; }
  const EventServerLimits& limits() const { return limits_; }

  /// Closes each connection after the response to its current request, and idle
  /// connections once `grace_period` has passed without a request.
  void BeginDrain(Duration grace_period);

  /// Closes about `fraction` of the connections, each after the response to its
  /// current or next request, so that their callers choose an instance anew.
  void RecycleConnections(double fraction);

  /// Stops accepting, refuses requests that are still being received, and calls
  /// `done` once all responses have been written and their connections are
  /// closed.
  void Finish(std::function<void()> done);

  /// Stops accepting and closes all connections.
  void Stop();

  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class EventSession;

  /// An address on which the server accepts connections.
  struct Listener {
    std::string address;
    asio::ip::tcp::acceptor acceptor;
  };

  void Accept(Listener& listener);
  void CloseAcceptors();
  void Remove(const std::shared_ptr<EventSession>& session);
  void NotifyIfFinished();

  asio::io_context& context_;
  Handler handler_;
  ErrorResponder error_responder_;
  EventServerLimits limits_;
  /// Sessions refer to the addresses.
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::set<std::shared_ptr<EventSession>> sessions_;
  std::size_t buffered_bytes_ = 0;
  MemoryBudget unlimited_;
  MemoryBudget* budget_ = &unlimited_;
  bool draining_ = false;
  /// Set by Finish() until all connections are closed.
  std::function<void()> on_finished_;
  bool finishing_ = false;
  bool stopped_ = false;
};

}  // namespace jacinth::http
