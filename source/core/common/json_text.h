#pragma once

#include <cstddef>
#include <string_view>

namespace jacinth {

/// Returns the number of arrays and objects that are open at once at most.
std::size_t JsonDepth(std::string_view text);

}  // namespace jacinth
