#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/settings/instance_settings.h"

namespace jacinth {

/// What an address of an entry instance serves. The interface's adapter decides
/// which requests belong to which use.
struct AddressUses {
  /// Requests to services, from callers and from other entries.
  bool callers = false;
  bool lookups = false;
  bool readiness = false;
  bool metrics = false;

  bool operator==(const AddressUses&) const = default;
};

using UsesByAddress = std::map<std::string, AddressUses, std::less<>>;

/// Returns the addresses on which an entry instance listens. One that is set
/// for several uses serves all of them.
UsesByAddress EntryAddresses(const settings::InstanceSettings& settings);

}  // namespace jacinth
