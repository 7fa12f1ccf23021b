#include "core/http/connection_pool.h"

#include <utility>

namespace jacinth::http {

std::unique_ptr<Connection> ConnectionPool::Take(const std::string& address,
                                                 Duration max_idle,
                                                 Time now) {
  std::vector<Kept> stale;
  const std::lock_guard lock(mutex_);
  std::vector<Kept>& kept = kept_[address];
  if (!kept.empty()) {
    Kept last = std::move(kept.back());
    kept.pop_back();
    if (now < last.used + max_idle)
      return std::move(last.connection);
    // The remaining connections have been idle even longer.
    stale = std::exchange(kept, {});
  }
  return std::make_unique<Connection>(address);
}

void ConnectionPool::Give(const std::string& address,
                          std::unique_ptr<Connection> connection,
                          Time now) {
  if (!connection->IsOpen())
    return;
  const std::lock_guard lock(mutex_);
  std::vector<Kept>& kept = kept_[address];
  if (kept.size() < max_kept_)
    kept.push_back({std::move(connection), now});
}

}  // namespace jacinth::http
