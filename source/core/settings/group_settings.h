#pragma once

#include <string>
#include <vector>

namespace jacinth::settings {

/// Settings of a control group whose members are discovered through seeds
/// rather than listed in the instance file.
struct GroupSettings {
  /// Addresses (`ip:port`) of instances to ask for the group. Only their hosts
  /// are used.
  std::vector<std::string> seeds;
  /// Host of this instance, on which a replica accepts links.
  std::string host;
  /// Port for links, the same on all instances.
  int link_port = 0;
  /// Address of the administration API (role control).
  std::string admin_address;
  /// True at the first start of the system: the instances are allowed to create
  /// a new group.
  bool found = false;
  /// Number of voters up to which the group grows.
  int target_voters = 0;
};

}  // namespace jacinth::settings
