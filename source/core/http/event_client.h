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
#include "core/http/memory_budget.h"
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
  /// Returns true if the request may still be sent on a connection that has
  /// just been opened for it. If empty, it may.
  std::function<bool()> may_send;
  /// Returns true if the connection of a response may be reused. If empty, all
  /// may.
  std::function<bool(const Response&)> keeps_connection;
};

/// Identifies a call until it ends.
using CallId = std::uint64_t;

/// Limit on the bytes of all incomplete responses of a client together. A sixth
/// to a quarter of the memory of a small instance.
inline constexpr std::size_t kMaxBufferedResponseBytes = 32UL << 20U;

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
  /// Closes the idle connections to all addresses.
  void CloseAllIdleConnections();

  /// Sets the limit on the bytes of all incomplete responses together. Beyond
  /// it, the exchange with the longest response so far ends as incomplete, so
  /// that one without end leaves room for the others.
  void SetMaxBufferedBytes(std::size_t bytes) { max_buffered_bytes_ = bytes; }
  /// Sets the budget that incomplete responses count against as well. It must
  /// outlive the client.
  void SetMemoryBudget(MemoryBudget& budget) { budget_ = &budget; }
  std::size_t buffered_bytes() const { return buffered_bytes_; }

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
  /// Called when the bytes that a connection buffers change from `before` to
  /// `after`.
  void OnBufferedChange(std::size_t before, std::size_t after);
  void RemoveIdle(const EventConnection* connection);
  ConnectionPtr TakeIdle(const std::string& address, Duration max_idle);

  asio::io_context& context_;
  std::size_t max_idle_per_address_;
  std::string source_address_;
  MemoryBudget unlimited_;
  MemoryBudget* budget_ = &unlimited_;
  std::size_t max_buffered_bytes_ = kMaxBufferedResponseBytes;
  std::size_t buffered_bytes_ = 0;
  CallId last_call_id_ = 0;
  std::uint64_t connections_opened_ = 0;
  std::map<CallId, std::pair<ConnectionPtr, EndHandler>> calls_;
  std::map<std::string, std::vector<ConnectionPtr>> idle_connections_;
};

}  // namespace jacinth::http
