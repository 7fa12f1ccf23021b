#pragma once

#include <string>
#include <string_view>

#include "core/log/record.h"

namespace jacinth::log {

/// Directs lines of at least `level` (by name, see Level) to standard output,
/// one JSON object each, with `instance` in every line. Lines are written on a
/// thread of their own; those that it can't keep up with, or that exceed the
/// budget of lines a second, are left out and counted.
void Start(std::string_view level, std::string instance);

/// Writes what is buffered, for a bounded time if the reader has stalled.
void Stop();

/// Writes one line.
void Write(const Record& record);

/// Writes one line with a sentence as `message`. Equal lines within a second
/// are counted, not written.
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
