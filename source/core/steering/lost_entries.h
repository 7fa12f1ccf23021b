#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/protocol/entry_status.h"

namespace jacinth::steering {

/// Entry instances that vanished from the member list, or restarted, without
/// having announced a stop, and haven't served callers since. Entries that stop
/// as planned announce it with `draining`.
///
/// Known only from the lists that this instance has seen since its start.
class LostEntries {
 public:
  /// Applies the newest member list.
  void Update(const std::vector<protocol::EntryStatus>& members);

  /// Region of each lost entry by its id.
  const std::map<std::string, std::string>& regions() const { return regions_; }

 private:
  std::map<std::string, std::string> regions_;
  /// The same for the entries that served callers in the last member list.
  std::map<std::string, std::string> serving_;
};

}  // namespace jacinth::steering
