#include "core/forwarding/endpoint_process.h"

namespace jacinth::forwarding {

bool IsLaterProcess(const EndpointProcess& process,
                    const EndpointProcess& other) {
  const bool known = process.started_ms != 0 && other.started_ms != 0;
  if (known && process.started_ms != other.started_ms)
    return process.started_ms < other.started_ms;
  return process.address != other.address;
}

}  // namespace jacinth::forwarding
