#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jacinth::trace {

/// Identifies a span and its trace, as in the W3C `traceparent` header.
struct SpanContext {
  /// 32 hexadecimal digits.
  std::string trace_id;
  /// 16 hexadecimal digits.
  std::string span_id;
  bool sampled = false;

  bool operator==(const SpanContext&) const = default;
};

/// Parses a `traceparent` value of version 00. Returns nullopt if it is
/// malformed.
std::optional<SpanContext> ParseTraceparent(std::string_view text);

/// Formats `context` as a `traceparent` value of version 00.
std::string FormatTraceparent(const SpanContext& context);

/// Returns the context of the root span of a new trace, with random ids.
SpanContext NewTrace(bool sampled);

/// Returns the context of a new span in the trace of `parent`, with a random
/// span id.
SpanContext NewChild(const SpanContext& parent);

}  // namespace jacinth::trace
