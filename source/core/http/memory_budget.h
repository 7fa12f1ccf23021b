#pragma once

#include <cstddef>
#include <limits>

namespace jacinth::http {

/// Counts the bytes that the messages of an instance take, received and sent,
/// against one limit: each message may be within its own limit and all of them
/// together still take more memory than the process has.
class MemoryBudget {
 public:
  /// Without a limit, nothing is ever beyond it.
  explicit MemoryBudget(
      std::size_t limit = std::numeric_limits<std::size_t>::max())
      : limit_(limit) {}

  /// Replaces `before` counted bytes by `after`.
  void Change(std::size_t before, std::size_t after) {
    held_ += after;
    held_ -= before;
  }

  bool IsExceeded() const { return held_ > limit_; }
  std::size_t held() const { return held_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
};

}  // namespace jacinth::http
