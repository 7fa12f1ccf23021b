#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/trace/span_context.h"

namespace jacinth::trace {

/// A finished operation within a trace.
struct Span {
  SpanContext context;
  /// Empty for the root span of a trace.
  std::string parent_span_id;
  std::string name;
  /// Wall-clock times in nanoseconds since the Unix epoch.
  std::int64_t start_unix_ns = 0;
  std::int64_t end_unix_ns = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  bool failed = false;
};

/// Returns the wall-clock time in nanoseconds since the Unix epoch.
std::int64_t UnixNanos();

}  // namespace jacinth::trace
