#include "core/common/machine_memory.h"

#include <sys/sysinfo.h>

namespace jacinth {

std::size_t MachineMemory() {
  struct sysinfo info {};
  if (::sysinfo(&info) != 0)
    return 0;
  return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

}  // namespace jacinth
