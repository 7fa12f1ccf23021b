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

/// What a process learns from its own file.
struct InstanceSettings {
  std::string id;
  /// What callers, endpoints and operators speak.
  InterfaceKind interface = InterfaceKind::kNative;
  std::string region;
  std::string failure_domain;
  std::vector<InstanceRole> roles;
  std::string data_folder;
  /// Empty if links between instances are accepted without proof.
  std::string cluster_secret_file;
  /// Where metrics are served beside the role's own address; may be empty.
  std::string metrics_address;
  std::string log_level;
  /// Where spans are written, one JSON document a line; empty for nowhere.
  std::string trace_file;
  int trace_sample_percent = 0;

  /// Address for callers (role entry).
  std::string entry_address;
  /// Further addresses for look-ups and readiness; may be empty.
  std::string lookup_address;
  std::string ready_address;
  int entry_requests = 0;
  int entry_connections = 0;
  /// Silence of the control role after which the entry leaves the look-ups.
  Duration control_timeout{0};
  Duration entry_heartbeat{0};
  /// Longest wait for requests in flight at a planned stop.
  Duration drain_limit{0};

  Duration election_timeout{0};
  Duration replica_heartbeat{0};
  /// Silence after which an entry is taken off the member list.
  Duration entry_timeout{0};
  int snapshot_entries = 0;

  /// Members of a group that is listed in the file; empty if `group` is used.
  std::vector<ReplicaSettings> replicas;
  GroupSettings group;
  /// Where the platform lists endpoints; empty if the tree names them.
  std::string discovery_address;
  Duration discovery_interval{0};
  /// Region of each failure domain.
  std::map<std::string, std::string> domain_regions;
  /// Options of the interface, as its adapter understands them.
  std::map<std::string, std::string> interface_options;
  std::vector<OperatorSettings> operators;

  bool HasRole(InstanceRole role) const;
  /// The row of `replicas` for this instance, or nullptr.
  const ReplicaSettings* OwnReplica() const;

  /// Name of this instance on links to others: a replica found through seeds is
  /// named by its link address, so that its name is where to dial it.
  std::string LinkName() const;
  /// Address for links and for operators (role control).
  std::string LinkAddress() const;
  std::string AdminAddress() const;
  /// Instances to ask for the control group.
  std::vector<std::string> ControlContacts() const;
};

/// One setting of the instance file.
struct InstanceSetting {
  /// Section, with `<name>` for a name chosen by the operator.
  std::string_view section;
  std::string_view key;
  SettingType type;
  IntegerRange range;
  /// Empty if the setting has no default.
  std::string_view default_value;
  std::string_view doc;
};

/// Every setting that the instance file may hold.
std::span<const InstanceSetting> InstanceSettingTable();

/// An instance file, usable only if there are no faults.
struct ParsedInstance {
  InstanceSettings settings;
  SettingFaults faults;
};

/// Parses and validates the text of an instance file.
ParsedInstance ParseInstance(std::string_view text);

}  // namespace jacinth::settings
