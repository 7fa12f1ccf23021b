#include "jacinthctl/idempotency_key.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>

namespace jacinth::ctl {

std::string NewIdempotencyKey() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
  std::random_device device;
  const std::uint32_t random_a = device() & 0xfffU;
  const std::uint32_t random_b = (device() & 0x3fffU) | 0x8000U;
  const std::uint64_t random_c =
      (std::uint64_t{device() & 0xffffU} << 32U) | device();
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03x-%04x-%012llx",
                static_cast<unsigned long long>(millis >> 16U),
                static_cast<unsigned long long>(millis & 0xffffU), random_a,
                random_b, static_cast<unsigned long long>(random_c));
  return text.data();
}

}  // namespace jacinth::ctl
