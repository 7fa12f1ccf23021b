#pragma once

#include <vector>

#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// Removes the entries that reach no endpoint, unless all of them are such.
void DropIsolated(const SteeringSnapshot& snapshot,
                  std::vector<const protocol::EntryStatus*>& entries);

}  // namespace jacinth::steering
