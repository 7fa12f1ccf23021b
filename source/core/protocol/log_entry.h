#pragma once

#include <cstdint>
#include <string>

namespace jacinth::protocol {

/// Type of a log entry's payload.
enum class LogEntryKind {
  kNoop,
  kCommand,
  kConfiguration,
};

/// An entry of the replicated log.
struct LogEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  LogEntryKind kind = LogEntryKind::kNoop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

}  // namespace jacinth::protocol
