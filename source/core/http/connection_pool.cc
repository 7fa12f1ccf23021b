#include "core/http/connection_pool.h"

#include <utility>

namespace jacinth::http {

std::unique_ptr<Connection> ConnectionPool::Acquire(const std::string& address,
                                                    Duration max_idle,
                                                    Time now) {
  std::vector<IdleConnection> stale;
  const std::lock_guard lock(mutex_);
  std::vector<IdleConnection>& idle = idle_connections_[address];
  if (!idle.empty()) {
    IdleConnection newest = std::move(idle.back());
    idle.pop_back();
    if (now < newest.last_used + max_idle)
      return std::move(newest.connection);
    // The remaining connections have been idle even longer.
    stale = std::exchange(idle, {});
  }
  return std::make_unique<Connection>(address);
}

void ConnectionPool::Release(const std::string& address,
                             std::unique_ptr<Connection> connection,
                             Time now) {
  if (!connection->IsOpen())
    return;
  const std::lock_guard lock(mutex_);
  std::vector<IdleConnection>& idle = idle_connections_[address];
  if (idle.size() < max_idle_per_address_)
    idle.push_back({std::move(connection), now});
}

}  // namespace jacinth::http
