#include "core/settings/instance_settings.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include "core/common/split.h"
#include "core/settings/ini_document.h"
#include "core/settings/tree.h"

namespace jacinth::settings {
namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr std::array<std::string_view, 5> kLogLevels = {
    "trace", "debug", "info", "warning", "error"};

// Replaces the name in a section such as "replica/c1" by the placeholder, which
// gives "replica/<name>". Returns sections without a name unchanged.
std::string SectionPattern(const std::string& section) {
  const std::size_t slash = section.find('/');
  if (slash == std::string::npos || !IsName(section.substr(slash + 1)))
    return section;
  return section.substr(0, slash) + "/<name>";
}

const InstanceSetting* FindRow(std::string_view section, std::string_view key) {
  for (const InstanceSetting& row : InstanceSettingTable()) {
    const bool any_key = row.key == "<name>";
    if (row.section == section && (row.key == key || any_key))
      return &row;
  }
  return nullptr;
}

bool IsKnownSection(std::string_view section) {
  return std::any_of(
      InstanceSettingTable().begin(), InstanceSettingTable().end(),
      [&](const InstanceSetting& row) { return row.section == section; });
}

class Reader {
 public:
  explicit Reader(std::string_view text) : document_(ParseIni(text)) {}

  ParsedInstance Run() {
    faults_ = document_.faults;
    for (const std::string& section : document_.sections) {
      if (!IsKnownSection(SectionPattern(section)))
        Add(section, "", 0, "unknown section");
    }
    for (const IniEntry& entry : document_.entries)
      TakeEntry(entry);
    FillInstance();
    FillEntry();
    FillControl();
    FillReplicas();
    FillGroup();
    FillDiscovery();
    FillOperators();
    CheckRoles();
    return {std::move(out_), std::move(faults_)};
  }

 private:
  void TakeEntry(const IniEntry& entry) {
    const std::string section = SectionPattern(entry.section);
    const InstanceSetting* row = FindRow(section, entry.key);
    if (row == nullptr) {
      if (IsKnownSection(section))
        Add(entry.section, entry.key, entry.line, "unknown key");
      return;
    }
    if (auto reason = CheckValue(row->type, row->range, entry.value)) {
      Add(entry.section, entry.key, entry.line, std::move(*reason));
      return;
    }
    values_[{entry.section, entry.key}] = entry.value;
    lines_[{entry.section, entry.key}] = entry.line;
  }

  std::string Text(const std::string& section, const std::string& key) const {
    const auto set = values_.find({section, key});
    if (set != values_.end())
      return set->second;
    const InstanceSetting* row = FindRow(SectionPattern(section), key);
    return std::string(row->default_value);
  }

  std::string Required(const std::string& section, const std::string& key) {
    std::string value = Text(section, key);
    if (value.empty() && !HasFault(section, key))
      Add(section, key, 0, "missing");
    return value;
  }

  int Number(const std::string& section, const std::string& key) const {
    return static_cast<int>(ParseInteger(Text(section, key)).value_or(0));
  }

  Duration Millis(const std::string& section, const std::string& key) const {
    return std::chrono::milliseconds(Number(section, key));
  }

  void FillInstance() {
    out_.id = Required("instance", "id");
    out_.region = Required("instance", "region");
    out_.failure_domain = Required("instance", "failure_domain");
    out_.data_folder = Text("instance", "data_folder");
    out_.metrics_address = Text("instance", "metrics_address");
    const auto interface = InterfaceKindFromName(Text("instance", "interface"));
    if (!interface) {
      Add("instance", "interface", Line("instance", "interface"),
          "must be native or platform");
    }
    out_.interface = interface.value_or(InterfaceKind::kNative);
    // The secret is optional with interface platform because the settings that
    // the platform provides contain none.
    out_.cluster_secret_file = out_.interface == InterfaceKind::kNative
                                   ? Required("instance", "cluster_secret_file")
                                   : Text("instance", "cluster_secret_file");
    out_.log_level = Text("instance", "log_level");
    out_.trace_file = Text("instance", "trace_file");
    out_.trace_sample_percent = Number("instance", "trace_sample_percent");
    for (const std::string& name : SplitList(Required("instance", "roles"))) {
      const auto role = InstanceRoleFromName(name);
      if (!role) {
        Add("instance", "roles", Line("instance", "roles"),
            "unknown role " + name);
        continue;
      }
      out_.roles.push_back(*role);
    }
    const bool known_level = std::find(kLogLevels.begin(), kLogLevels.end(),
                                       out_.log_level) != kLogLevels.end();
    if (!known_level) {
      Add("instance", "log_level", Line("instance", "log_level"),
          "must be trace, debug, info, warning or error");
    }
  }

  void FillEntry() {
    out_.entry_address = Text("entry", "address");
    out_.lookup_address = Text("entry", "lookup_address");
    out_.ready_address = Text("entry", "ready_address");
    out_.entry_requests = Number("entry", "requests");
    out_.entry_connections = Number("entry", "connections");
    out_.control_timeout = Millis("entry", "control_timeout_ms");
    out_.entry_heartbeat = Millis("entry", "heartbeat_ms");
    out_.drain_limit = Millis("entry", "drain_limit_ms");
    if (out_.control_timeout < 2 * out_.entry_heartbeat) {
      Add("entry", "control_timeout_ms", Line("entry", "control_timeout_ms"),
          "must be at least twice the heartbeat_ms of section entry");
    }
    if (out_.entry_connections < out_.entry_requests) {
      Add("entry", "connections", Line("entry", "connections"),
          "must not be less than requests");
    }
  }

  void FillControl() {
    out_.election_timeout = Millis("control", "election_timeout_ms");
    out_.replica_heartbeat = Millis("control", "heartbeat_ms");
    out_.entry_timeout = Millis("control", "entry_timeout_ms");
    out_.snapshot_entries = Number("control", "snapshot_entries");
    if (out_.election_timeout < 3 * out_.replica_heartbeat) {
      Add("control", "election_timeout_ms",
          Line("control", "election_timeout_ms"),
          "must be at least three times the heartbeat_ms of section control");
    }
  }

  void FillReplicas() {
    for (const std::string& name : NamesBelow("replica")) {
      const std::string section = "replica/" + name;
      out_.replicas.push_back({name, Required(section, "peer_address"),
                               Required(section, "admin_address")});
    }
    const bool has_seeds = !Text("group", "seeds").empty();
    if (out_.replicas.empty() && !has_seeds)
      Add("replica/<name>", "", 0,
          "at least one replica is required if group seeds are not set");
    if (!out_.replicas.empty() && has_seeds)
      Add("group", "seeds", Line("group", "seeds"),
          "can't be combined with replica sections");
  }

  void FillGroup() {
    GroupSettings& group = out_.group;
    group.seeds = SplitList(Text("group", "seeds"));
    for (const std::string& seed : group.seeds) {
      if (auto reason = CheckValue(SettingType::kAddress, {}, seed))
        Add("group", "seeds", Line("group", "seeds"), seed + " " + *reason);
    }
    group.host = Text("group", "host");
    group.link_port = Number("group", "link_port");
    group.admin_address = Text("group", "admin_address");
    group.found = Text("group", "found") == "true";
    group.target_voters = Number("group", "target_voters");
  }

  void FillDiscovery() {
    out_.discovery_address = Text("discovery", "address");
    out_.discovery_interval = Millis("discovery", "interval_ms");
    for (const std::string& domain : NamesBelow("failure_domain")) {
      out_.domain_regions[domain] =
          Required("failure_domain/" + domain, "region");
    }
    for (const auto& [place, value] : values_) {
      if (place.first == "interface")
        out_.interface_options[place.second] = value;
    }
  }

  void FillOperators() {
    for (const std::string& name : NamesBelow("operator")) {
      const std::string section = "operator/" + name;
      OperatorSettings row;
      row.name = name;
      row.token_sha256 = Required(section, "token_sha256");
      row.party = Required(section, "party");
      row.branches = SplitList(Text(section, "branches"));
      if (!row.token_sha256.empty() &&
          row.token_sha256.size() != kSha256HexLength) {
        Add(section, "token_sha256", Line(section, "token_sha256"),
            "must have 64 hexadecimal digits");
      }
      out_.operators.push_back(std::move(row));
    }
  }

  void CheckRoles() {
    if (out_.HasRole(InstanceRole::kEntry))
      Required("entry", "address");
    if (!out_.HasRole(InstanceRole::kControl))
      return;
    Required("instance", "data_folder");
    if (!out_.group.seeds.empty()) {
      Required("group", "host");
      Required("group", "admin_address");
      return;
    }
    if (out_.OwnReplica() == nullptr)
      Add("replica/" + out_.id, "", 0,
          "missing; an instance of role control requires its own replica "
          "section");
  }

  std::vector<std::string> NamesBelow(const std::string& prefix) const {
    std::vector<std::string> names;
    for (const std::string& section : document_.sections) {
      if (SectionPattern(section) == prefix + "/<name>")
        names.push_back(section.substr(prefix.size() + 1));
    }
    return names;
  }

  bool HasFault(const std::string& section, const std::string& key) const {
    return std::any_of(faults_.begin(), faults_.end(),
                       [&](const SettingFault& fault) {
                         return fault.branch == section && fault.key == key;
                       });
  }

  int Line(const std::string& section, const std::string& key) const {
    const auto found = lines_.find({section, key});
    return found == lines_.end() ? 0 : found->second;
  }

  void Add(std::string section, std::string key, int line, std::string reason) {
    faults_.push_back(
        {std::move(section), std::move(key), line, std::move(reason)});
  }

  IniDocument document_;
  std::map<std::pair<std::string, std::string>, std::string> values_;
  std::map<std::pair<std::string, std::string>, int> lines_;
  InstanceSettings out_;
  SettingFaults faults_;
};

}  // namespace

bool InstanceSettings::HasRole(InstanceRole role) const {
  return std::find(roles.begin(), roles.end(), role) != roles.end();
}

const ReplicaSettings* InstanceSettings::OwnReplica() const {
  for (const ReplicaSettings& replica : replicas) {
    if (replica.id == id)
      return &replica;
  }
  return nullptr;
}

std::string InstanceSettings::LinkName() const {
  const bool by_address =
      !group.seeds.empty() && HasRole(InstanceRole::kControl);
  return by_address ? LinkAddress() : id;
}

std::string InstanceSettings::LinkAddress() const {
  if (!group.seeds.empty())
    return group.host + ":" + std::to_string(group.link_port);
  const ReplicaSettings* own = OwnReplica();
  return own == nullptr ? std::string() : own->peer_address;
}

std::string InstanceSettings::AdminAddress() const {
  if (!group.seeds.empty())
    return group.admin_address;
  const ReplicaSettings* own = OwnReplica();
  return own == nullptr ? std::string() : own->admin_address;
}

std::vector<std::string> InstanceSettings::ControlContacts() const {
  std::vector<std::string> contacts;
  for (const ReplicaSettings& replica : replicas)
    contacts.push_back(replica.id);
  for (const std::string& seed : group.seeds) {
    const std::string host = seed.substr(0, seed.rfind(':'));
    contacts.push_back(host + ":" + std::to_string(group.link_port));
  }
  return contacts;
}

bool OperatorSettings::MayChange(const std::string& branch) const {
  for (const std::string& own : branches) {
    if (own == "*" || own == branch)
      return true;
    if (branch.compare(0, own.size() + 1, own + "/") == 0)
      return true;
  }
  return false;
}

ParsedInstance ParseInstance(std::string_view text) {
  return Reader(text).Run();
}

}  // namespace jacinth::settings
