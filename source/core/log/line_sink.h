#pragma once

#include <cstdint>
#include <string>

namespace jacinth::log {

/// Writes lines to standard output on a separate thread through a bounded
/// queue, so that a slow reader of the output never blocks the threads that
/// log.
class LineSink {
 public:
  LineSink();
  ~LineSink();
  LineSink(const LineSink&) = delete;
  LineSink& operator=(const LineSink&) = delete;

  /// Queues one line, given without its line terminator. Drops it if the queue
  /// is full.
  void Add(const std::string& line);

  /// Waits for a bounded time until the queued lines are written, and ends the
  /// thread if they were.
  void Stop();

 private:
  struct Impl;
  /// Deliberately leaked if the reader has stalled, as the thread that uses it
  /// is then blocked and can't be joined.
  Impl* impl_;
};

}  // namespace jacinth::log
