#include "core/trace/span_context.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace jacinth::trace {
namespace {

constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceIdSize = 32;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kSpanIdSize = 16;
constexpr std::size_t kFlagsOffset = 53;

bool IsLowercaseHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string RandomHex(std::size_t digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  thread_local std::mt19937_64 random_engine{std::random_device{}()};
  std::string text;
  while (text.size() < digits) {
    std::uint64_t random_bits = random_engine();
    for (int i = 0; i < 16 && text.size() < digits; ++i) {
      text.push_back(kDigits[random_bits & 15U]);
      random_bits >>= 4U;
    }
  }
  return text;
}

}  // namespace

std::optional<SpanContext> ParseTraceparent(std::string_view text) {
  if (text.size() != kTraceparentSize ||
      text.substr(0, kTraceIdOffset) != "00-" ||
      text[kSpanIdOffset - 1] != '-' || text[kFlagsOffset - 1] != '-')
    return std::nullopt;
  SpanContext context;
  context.trace_id = text.substr(kTraceIdOffset, kTraceIdSize);
  context.span_id = text.substr(kSpanIdOffset, kSpanIdSize);
  const std::string_view flags = text.substr(kFlagsOffset);
  if (!IsLowercaseHex(context.trace_id) || !IsLowercaseHex(context.span_id) ||
      !IsLowercaseHex(flags) || IsZero(context.trace_id) ||
      IsZero(context.span_id))
    return std::nullopt;
  const int low_digit = flags[1] <= '9' ? flags[1] - '0' : flags[1] - 'a' + 10;
  context.sampled = (low_digit & 1) != 0;
  return context;
}

std::string FormatTraceparent(const SpanContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

SpanContext NewTrace(bool sampled) {
  return {RandomHex(kTraceIdSize), RandomHex(kSpanIdSize), sampled};
}

SpanContext NewChild(const SpanContext& parent) {
  return {parent.trace_id, RandomHex(kSpanIdSize), parent.sampled};
}

}  // namespace jacinth::trace
