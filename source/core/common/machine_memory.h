#pragma once

#include <cstddef>

namespace jacinth {

/// Returns the memory of the machine in bytes, as the system reports it; 0 if
/// it doesn't.
std::size_t MachineMemory();

}  // namespace jacinth
