#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "core/common/time.h"
#include "core/http/message.h"

namespace jacinth::http {

/// How an exchange of a request and its response ended.
enum class ExchangeEnd {
  /// A complete response was received.
  kAnswered,
  /// The connection could not be established, so no byte was sent.
  kNotConnected,
  /// The connection failed after bytes may have been sent.
  kLost,
  kTimedOut,
  /// The response was truncated or malformed, or its end can't be determined.
  kIncomplete,
  kTooLarge,
  /// The connection was open when the caller gave the request up, so no byte
  /// was sent.
  kWithdrawn,
};

/// Result of an exchange. `response` is complete only for kAnswered.
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kLost;
  Response response;
  /// True if the connection can carry another exchange.
  bool reusable = false;
  /// True if the other side refused the connection, rather than not responding.
  bool refused = false;
  /// True if the exchange was the first one on its connection.
  bool opened_connection = false;
};

/// Time and size limits of one exchange.
struct ExchangeLimits {
  Duration connect_timeout{0};
  /// Bound on the whole exchange.
  Duration timeout{0};
  std::size_t max_body_bytes = 0;
};

/// A blocking client connection that carries one exchange at a time. Sends each
/// request once and never retries it implicitly.
class Connection {
 public:
  /// `address` is `ip:port`.
  explicit Connection(const std::string& address);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends a request and waits for the response. Closes the connection unless
  /// the exchange ends with kAnswered.
  ExchangeResult Exchange(const Request& request, const ExchangeLimits& limits);

  /// Returns true if the connection can be used for another exchange.
  bool IsOpen() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jacinth::http
