#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jacinth::http {

/// A thread pool with a bounded queue. Tasks that don't fit into the queue run
/// on a few overflow threads, where they should refuse their requests quickly.
/// Add() blocks once the overflow queue is full as well.
class BoundedPool {
 public:
  BoundedPool(std::size_t threads, std::size_t max_queued);
  ~BoundedPool();
  BoundedPool(const BoundedPool&) = delete;
  BoundedPool& operator=(const BoundedPool&) = delete;

  void Add(std::function<void()> task);

  /// Runs the queued tasks and joins the threads.
  void Stop();

  /// Number of tasks in the main queue.
  std::size_t queued() const;

  /// Returns true if called on an overflow thread.
  static bool IsOverflowThread();

 private:
  struct Lane {
    std::deque<std::function<void()>> tasks;
    std::condition_variable ready;
    std::size_t limit = 0;
  };

  void Run(Lane& lane, bool overflow);

  mutable std::mutex mutex_;
  std::condition_variable space_;
  Lane main_;
  Lane overflow_;
  bool stopped_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace jacinth::http
