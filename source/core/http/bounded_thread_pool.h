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
/// on a few overflow threads, where they are expected to refuse their request
/// without further work. Add() blocks once the overflow queue is full as well.
class BoundedThreadPool {
 public:
  BoundedThreadPool(std::size_t threads, std::size_t max_queued);
  ~BoundedThreadPool();
  BoundedThreadPool(const BoundedThreadPool&) = delete;
  BoundedThreadPool& operator=(const BoundedThreadPool&) = delete;

  void Add(std::function<void()> task);

  /// Runs the queued tasks and joins the threads.
  void Stop();

  /// Number of tasks in the main queue.
  std::size_t queued_tasks() const;

  /// Returns true if called on an overflow thread.
  static bool IsOverflowThread();

 private:
  struct Queue {
    std::deque<std::function<void()>> tasks;
    std::condition_variable task_available;
    std::size_t max_size = 0;
  };

  void Run(Queue& queue, bool overflow);

  mutable std::mutex mutex_;
  std::condition_variable space_available_;
  Queue main_queue_;
  Queue overflow_queue_;
  bool stopped_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace jacinth::http
