#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/http/connection.h"

namespace jacinth::http {

/// A pool of idle client connections, by server address. Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t max_idle_per_address)
      : max_idle_per_address_(max_idle_per_address) {}

  /// Returns the most recently used idle connection if it was used within
  /// `max_idle`. Otherwise closes the idle connections to `address` and returns
  /// a new connection, which is not open yet.
  std::unique_ptr<Connection> Acquire(const std::string& address,
                                      Duration max_idle,
                                      Time now);

  /// Returns a connection to the pool. Discards it if it is closed or the pool
  /// has no room for it.
  void Release(const std::string& address,
               std::unique_ptr<Connection> connection,
               Time now);

 private:
  struct IdleConnection {
    std::unique_ptr<Connection> connection;
    Time last_used;
  };

  std::size_t max_idle_per_address_;
  std::mutex mutex_;
  std::map<std::string, std::vector<IdleConnection>> idle_connections_;
};

}  // namespace jacinth::http
