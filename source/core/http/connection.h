#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "core/common/time.h"
#include "core/http/message.h"

namespace jacinth::http {

/// How an exchange on a connection ended.
enum class ExchangeEnd {
  /// A whole answer came.
  kAnswered,
  /// No connection was made: no byte was handed over.
  kNotConnected,
  /// The connection failed after bytes may have been handed over.
  kLost,
  kTimedOut,
  /// The answer was cut short, or its end can't be told.
  kIncomplete,
  kTooLarge,
};

/// The end of an exchange; `response` is whole only for kAnswered.
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kLost;
  Response response;
  /// The connection may carry another exchange.
  bool reusable = false;
};

/// Limits of one exchange.
struct ExchangeLimits {
  Duration connect_timeout{0};
  /// For the whole exchange.
  Duration timeout{0};
  std::size_t max_body_bytes = 0;
};

/// One connection to a server, with one exchange at a time. Sends each request
/// once: nothing is repeated behind the owner's back.
class Connection {
 public:
  /// `address` is `ip:port`.
  explicit Connection(const std::string& address);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends a request and waits for the answer. Unless it ended with kAnswered,
  /// the connection is closed.
  ExchangeResult Exchange(const Request& request, const ExchangeLimits& limits);

  /// True if the connection may be used for another exchange.
  bool IsOpen() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jacinth::http
