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

/// A request for an EventClient to send.
struct ClientCall {
  /// `ip:port`.
  std::string address;
  Request request;
  ExchangeLimits limits;
  /// Longest idle time of a connection to be reused. Zero forces a new
  /// connection.
  Duration max_idle{0};
};

/// Identifies a call until it ends.
using CallId = std::uint64_t;

/// An asynchronous HTTP client that reuses its connections and sends each
/// request once. Must be used on the thread of its io_context.
class EventClient {
 public:
  using EndHandler = std::function<void(ExchangeResult)>;

  /// Keeps at most `max_idle_per_address` idle connections per address.
  /// Connections come from the local IP address `source_address` unless it is
  /// empty.
  EventClient(asio::io_context& context,
              std::size_t max_idle_per_address,
              std::string source_address = "");
  ~EventClient();
  EventClient(const EventClient&) = delete;
  EventClient& operator=(const EventClient&) = delete;

  /// Sends the request. Calls `on_end` once, after Start() has returned, unless
  /// the call is canceled.
  CallId Start(const ClientCall& call, EndHandler on_end);

  /// Cancels a call: closes its connection at once and doesn't call `on_end`.
  void Cancel(CallId id);

  /// Closes the idle connections to `address`.
  void CloseIdleConnections(const std::string& address);

  /// Cancels all calls and closes all connections.
  void Stop();

  const std::string& source_address() const { return source_address_; }
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  friend class EventConnection;

  using ConnectionPtr = std::shared_ptr<EventConnection>;

  void OnExchangeEnd(CallId id,
                     const ConnectionPtr& connection,
                     ExchangeResult result);
  void RemoveIdle(const EventConnection* connection);
  ConnectionPtr TakeIdle(const std::string& address, Duration max_idle);

  asio::io_context& context_;
  std::size_t max_idle_per_address_;
  std::string source_address_;
  CallId last_call_id_ = 0;
  std::uint64_t connections_opened_ = 0;
  std::map<CallId, std::pair<ConnectionPtr, EndHandler>> calls_;
  std::map<std::string, std::vector<ConnectionPtr>> idle_connections_;
};

}  // namespace jacinth::http
