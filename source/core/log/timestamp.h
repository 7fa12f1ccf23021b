#pragma once

#include <chrono>
#include <string>

namespace jacinth::log {

/// A time of day in UTC as in RFC 3339, with microseconds.
std::string FormatTimestamp(std::chrono::system_clock::time_point time);

}  // namespace jacinth::log
