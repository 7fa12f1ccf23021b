#include "jacinthroute/address_uses.h"

namespace jacinth {

UsesByAddress EntryAddresses(const settings::InstanceSettings& settings) {
  UsesByAddress uses;
  uses[settings.entry_address].callers = true;
  uses[settings.lookup_address].lookups = true;
  uses[settings.ready_address].readiness = true;
  uses[settings.metrics_address].metrics = true;
  // Unset addresses are empty.
  uses.erase("");
  return uses;
}

}  // namespace jacinth
