#pragma once

#include <chrono>
#include <string>

namespace jacinth::log {

/// Formats `time` in UTC according to RFC 3339, with microseconds.
std::string FormatTimestamp(std::chrono::system_clock::time_point time);

}  // namespace jacinth::log
