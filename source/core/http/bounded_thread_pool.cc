#include "core/http/bounded_thread_pool.h"

#include <utility>

namespace jacinth::http {
namespace {

constexpr std::size_t kOverflowThreads = 2;
constexpr std::size_t kMaxOverflowTasks = 64;

thread_local bool is_overflow_thread = false;

}  // namespace

BoundedThreadPool::BoundedThreadPool(std::size_t threads,
                                     std::size_t max_queued) {
  main_queue_.max_size = max_queued;
  overflow_queue_.max_size = kMaxOverflowTasks;
  for (std::size_t i = 0; i < threads; ++i)
    threads_.emplace_back([this] { Run(main_queue_, /*overflow=*/false); });
  for (std::size_t i = 0; i < kOverflowThreads; ++i)
    threads_.emplace_back([this] { Run(overflow_queue_, /*overflow=*/true); });
}

BoundedThreadPool::~BoundedThreadPool() {
  Stop();
}

void BoundedThreadPool::Add(std::function<void()> task) {
  std::unique_lock lock(mutex_);
  space_available_.wait(lock, [&] {
    return stopped_ || main_queue_.tasks.size() < main_queue_.max_size ||
           overflow_queue_.tasks.size() < overflow_queue_.max_size;
  });
  Queue& queue = main_queue_.tasks.size() < main_queue_.max_size
                     ? main_queue_
                     : overflow_queue_;
  queue.tasks.push_back(std::move(task));
  queue.task_available.notify_one();
}

void BoundedThreadPool::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    main_queue_.task_available.notify_all();
    overflow_queue_.task_available.notify_all();
    space_available_.notify_all();
  }
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

std::size_t BoundedThreadPool::queued_tasks() const {
  const std::lock_guard lock(mutex_);
  return main_queue_.tasks.size();
}

bool BoundedThreadPool::IsOverflowThread() {
  return is_overflow_thread;
}

void BoundedThreadPool::Run(Queue& queue, bool overflow) {
  is_overflow_thread = overflow;
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      queue.task_available.wait(
          lock, [&] { return stopped_ || !queue.tasks.empty(); });
      if (queue.tasks.empty())
        return;
      task = std::move(queue.tasks.front());
      queue.tasks.pop_front();
      space_available_.notify_one();
    }
    task();
  }
}

}  // namespace jacinth::http
