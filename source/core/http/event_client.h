#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/common/time.h"
#include "core/http/connection.h"
#include "core/http/message.h"

namespace jacinth::http {

class EventConnection;

/// One request to be sent by an EventClient.
struct ClientCall {
  /// `ip:port`.
  std::string address;
  Request request;
  ExchangeLimits limits;
  /// A kept connection is used only if it was idle for no longer; zero for a
  /// new connection.
  Duration max_idle{0};
};

/// Names a call until it has ended.
using CallId = std::uint64_t;

/// Sends requests over kept connections on an event loop, each request once.
/// Lives on the thread of its io_context.
class EventClient {
 public:
  using EndHandler = std::function<void(ExchangeResult)>;

  /// Keeps at most `max_kept` idle connections for each address.
  EventClient(asio::io_context& context, std::size_t max_kept);
  ~EventClient();
  EventClient(const EventClient&) = delete;
  EventClient& operator=(const EventClient&) = delete;

  /// Sends the request; `on_end` is called later, once, unless the call is
  /// cancelled.
  CallId Start(const ClientCall& call, EndHandler on_end);

  /// Gives up: the connection is closed at once, and `on_end` isn't called.
  void Cancel(CallId id);

  /// Closes the idle connections to `address`.
  void Forget(const std::string& address);

  /// Cancels all calls and closes all connections.
  void Stop();

  std::uint64_t connects() const { return connects_; }

 private:
  friend class EventConnection;

  using ConnectionPtr = std::shared_ptr<EventConnection>;

  void OnEnd(CallId id, const ConnectionPtr& connection, ExchangeResult result);
  void Drop(const EventConnection* connection);
  ConnectionPtr TakeKept(const std::string& address, Duration max_idle);

  asio::io_context& context_;
  std::size_t max_kept_;
  CallId last_call_ = 0;
  std::uint64_t connects_ = 0;
  std::map<CallId, std::pair<ConnectionPtr, EndHandler>> calls_;
  std::map<std::string, std::vector<ConnectionPtr>> kept_;
};

}  // namespace jacinth::http
