#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/instance_role.h"
#include "core/common/interface_kind.h"
#include "core/common/time.h"
#include "core/settings/group_settings.h"
#include "core/settings/operator_settings.h"
#include "core/settings/replica_settings.h"
#include "core/settings/setting_fault.h"
#include "core/settings/setting_spec.h"

namespace jacinth::settings {

/// Settings of one process, read from its instance file.
struct InstanceSettings {
  std::string id;
  /// Protocol used with callers, endpoints and operators.
  InterfaceKind interface = InterfaceKind::kNative;
  std::string region;
  std::string failure_domain;
  std::vector<InstanceRole> roles;
  std::string data_folder;
  /// Empty if links between instances are accepted without authentication.
  std::string cluster_secret_file;
  /// Address that serves metrics; empty for none. The native interface serves
  /// them on the address of the role as well.
  std::string metrics_address;
  std::string log_level;
  /// File to which spans are written, one JSON document per line; empty if
  /// spans are not written.
  std::string trace_file;
  int trace_sample_percent = 0;

  /// Address for callers (role entry).
  std::string entry_address;
  /// Addresses for look-ups and readiness checks; empty for none. The native
  /// interface serves both on the address for callers as well.
  std::string lookup_address;
  /// Local IP address of connections to endpoints and other entries; empty if
  /// the system chooses it.
  std::string source_address;
  std::string ready_address;
  /// Maximum number of requests held and of caller connections open at once.
  int entry_requests = 0;
  int entry_connections = 0;
  /// Bandwidth of the network link in each direction, in bytes per second; 0 if
  /// requests are not limited by it.
  double entry_bandwidth = 0;
  /// Memory that the process may use, in bytes; 0 for that of the machine.
  std::size_t entry_memory = 0;
  /// Time without contact with the control role after which the entry omits
  /// itself from look-ups.
  Duration control_timeout{0};
  Duration entry_heartbeat{0};
  /// Maximum wait for requests in flight during a planned stop.
  Duration drain_limit{0};

  Duration election_timeout{0};
  Duration replica_heartbeat{0};
  /// Time without a heartbeat after which an entry is removed from the member
  /// list.
  Duration entry_timeout{0};
  /// Number of log entries between snapshots.
  int snapshot_entries = 0;

  /// Members of the control group if the file lists them; empty if `group` is
  /// used.
  std::vector<ReplicaSettings> replicas;
  GroupSettings group;
  /// Address of the endpoint list of the platform; empty if the settings tree
  /// defines the endpoints.
  std::string discovery_address;
  Duration discovery_interval{0};
  /// Region of each failure domain.
  std::map<std::string, std::string> failure_domain_regions;
  /// Options of the interface, interpreted by its adapter.
  std::map<std::string, std::string> interface_options;
  std::vector<OperatorSettings> operators;

  bool HasRole(InstanceRole role) const;
  /// Returns the element of `replicas` for this instance, or nullptr.
  const ReplicaSettings* OwnReplica() const;

  /// Returns the name of this instance on links to others. A replica that is
  /// discovered through seeds is named by its link address, so that its name is
  /// also the address to connect to.
  std::string LinkName() const;
  /// Returns the address for links between instances (role control).
  std::string LinkAddress() const;
  /// Returns the address of the administration API (role control).
  std::string AdminAddress() const;
  /// Returns the link names of the instances to ask for the control group.
  std::vector<std::string> ControlContacts() const;
};

/// Describes one setting of the instance file.
struct InstanceSettingSpec {
  /// Section, with `<name>` in place of a name chosen by the operator.
  std::string_view section;
  std::string_view key;
  SettingType type;
  IntegerRange range;
  /// Empty if the setting has no default.
  std::string_view default_value;
  std::string_view description;
};

/// Returns the descriptions of all settings of the instance file.
std::span<const InstanceSettingSpec> InstanceSettingTable();

/// Result of parsing an instance file. `settings` is valid only if `faults` is
/// empty.
struct ParsedInstanceSettings {
  InstanceSettings settings;
  SettingFaults faults;
};

/// Parses and validates the text of an instance file.
ParsedInstanceSettings ParseInstanceSettings(std::string_view text);

}  // namespace jacinth::settings
