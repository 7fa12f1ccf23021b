#pragma once

#include <string>
#include <string_view>

#include "core/log/record.h"

namespace jacinth::log {

/// Starts logging to standard output, one JSON object per line. Records below
/// `level` (the name of a Level) are discarded; `instance` is a field of every
/// line.
///
/// A separate thread writes the lines. Lines above the rate limit are dropped
/// and counted in the next line; lines that do not fit into the queue of the
/// thread are dropped.
void Start(std::string_view level, std::string instance);

/// Writes the queued lines and stops logging. The wait is bounded, in case the
/// reader of the output has stalled.
void Stop();

/// Writes one record as a line.
void Write(const Record& record);

/// Writes a line with the event `message` and `text` as its message.
/// Repetitions of a text within a second are suppressed and counted.
void Write(Level level, Category category, std::string_view text);

inline void Debug(Category category, std::string_view text) {
  Write(Level::kDebug, category, text);
}
inline void Info(Category category, std::string_view text) {
  Write(Level::kInfo, category, text);
}
inline void Warning(Category category, std::string_view text) {
  Write(Level::kWarning, category, text);
}
inline void Failure(Category category, std::string_view text) {
  Write(Level::kError, category, text);
}

}  // namespace jacinth::log
