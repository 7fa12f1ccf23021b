#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

#include "core/common/error.h"
#include "core/trace/span.h"

namespace jacinth::trace {

/// Appends sampled spans to a file on a separate thread, one OTLP/JSON document
/// per line. Spans that are added while the queue is full are dropped.
class SpanWriter {
 public:
  /// `instance` is written as the `service.instance.id` of every span.
  explicit SpanWriter(std::string instance);
  ~SpanWriter();
  SpanWriter(const SpanWriter&) = delete;
  SpanWriter& operator=(const SpanWriter&) = delete;

  /// Opens the file for appending and starts the thread. If `path` is empty,
  /// the writer stays disabled and discards all spans. Fails with
  /// kStorageFailed.
  Result<void> Start(const std::string& path);
  /// Writes the queued spans and ends the thread.
  void Stop();

  /// Queues `span` if it is sampled.
  void Add(Span span);

  /// Number of spans dropped because the queue was full.
  std::uint64_t dropped() const;

 private:
  void WriteLoop();

  std::string instance_;
  std::ofstream file_;
  mutable std::mutex mutex_;
  std::condition_variable wake_up_;
  std::deque<Span> queue_;
  std::uint64_t dropped_ = 0;
  bool stopped_ = true;
  std::thread thread_;
};

}  // namespace jacinth::trace
