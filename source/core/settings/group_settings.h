#pragma once

#include <string>
#include <vector>

namespace jacinth::settings {

/// A control group whose members aren't listed in the file.
struct GroupSettings {
  /// Addresses (`ip:port`) of instances that may know the group; only the hosts
  /// matter.
  std::vector<std::string> seeds;
  /// Own host, on which a replica accepts links.
  std::string host;
  /// Port for links, the same on all instances.
  int link_port = 0;
  /// Address of the administration API (role control).
  std::string admin_address;
  /// The system starts for the first time, so a group may be founded.
  bool found = false;
  /// Voters that the group grows to.
  int target_voters = 0;
};

}  // namespace jacinth::settings
