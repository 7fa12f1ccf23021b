#pragma once

#include <string>

namespace jacinth::settings {

/// Addresses of one control replica.
struct ReplicaSettings {
  std::string id;
  /// Address for links between instances, `ip:port`.
  std::string peer_address;
  /// Address of the administration API, `ip:port`.
  std::string admin_address;
};

}  // namespace jacinth::settings
