#include "core/log/timestamp.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace jacinth::log {

std::string FormatTimestamp(std::chrono::system_clock::time_point time) {
  const auto since_epoch = time.time_since_epoch();
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      since_epoch - seconds);
  const auto unix_time = static_cast<std::time_t>(seconds.count());
  std::tm fields{};
  gmtime_r(&unix_time, &fields);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &fields);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%06dZ", date.data(),
                static_cast<int>(micros.count()));
  return text.data();
}

}  // namespace jacinth::log
