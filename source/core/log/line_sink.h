#pragma once

#include <cstdint>
#include <string>

namespace jacinth::log {

/// Writes lines to standard output on a thread of its own, through a bounded
/// queue. Never waits for the reader.
class LineSink {
 public:
  LineSink();
  ~LineSink();
  LineSink(const LineSink&) = delete;
  LineSink& operator=(const LineSink&) = delete;

  /// Queues one line, without its end. Dropped if the queue is full.
  void Add(const std::string& line);

  /// Waits until what is queued is written, for a bounded time.
  void Stop();

 private:
  struct Impl;
  /// Kept beyond this object if the reader has stalled, as its thread can't be
  /// ended then.
  Impl* impl_;
};

}  // namespace jacinth::log
