#include "core/settings/instance_settings.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include "core/common/decimal.h"
#include "core/common/split.h"
#include "core/settings/ini_document.h"
#include "core/settings/tree.h"

namespace jacinth::settings {
namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr double kBytesPerMegabit = 125'000;
constexpr double kBytesPerMegabyte = 1'000'000;
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

const InstanceSettingSpec* FindSpec(std::string_view section,
                                    std::string_view key) {
  for (const InstanceSettingSpec& spec : InstanceSettingTable()) {
    const bool accepts_any_key = spec.key == "<name>";
    if (spec.section == section && (spec.key == key || accepts_any_key))
      return &spec;
  }
  return nullptr;
}

bool IsKnownSection(std::string_view section) {
  return std::any_of(
      InstanceSettingTable().begin(), InstanceSettingTable().end(),
      [&](const InstanceSettingSpec& spec) { return spec.section == section; });
}

class InstanceFileParser {
 public:
  explicit InstanceFileParser(std::string_view text)
      : document_(ParseIni(text)) {}

  ParsedInstanceSettings Parse() {
    faults_ = document_.faults;
    for (const std::string& section : document_.sections) {
      if (!IsKnownSection(SectionPattern(section)))
        AddFault(section, "", 0, "unknown section");
    }
    for (const IniEntry& entry : document_.entries)
      AddEntry(entry);
    ReadInstanceSection();
    ReadEntrySection();
    ReadControlSection();
    ReadReplicaSections();
    ReadGroupSection();
    ReadDiscoverySections();
    ReadOperatorSections();
    CheckRoles();
    return {std::move(settings_), std::move(faults_)};
  }

 private:
  void AddEntry(const IniEntry& entry) {
    const std::string section = SectionPattern(entry.section);
    const InstanceSettingSpec* spec = FindSpec(section, entry.key);
    if (spec == nullptr) {
      if (IsKnownSection(section))
        AddFault(entry.section, entry.key, entry.line, "unknown key");
      return;
    }
    if (auto reason = CheckValue(spec->type, spec->range, entry.value)) {
      AddFault(entry.section, entry.key, entry.line, std::move(*reason));
      return;
    }
    values_[{entry.section, entry.key}] = entry.value;
    lines_[{entry.section, entry.key}] = entry.line;
  }

  std::string GetText(const std::string& section,
                      const std::string& key) const {
    const auto it = values_.find({section, key});
    if (it != values_.end())
      return it->second;
    const InstanceSettingSpec* spec = FindSpec(SectionPattern(section), key);
    return std::string(spec->default_value);
  }

  // Adds a fault if the setting is missing. An invalid value was dropped by
  // AddEntry, which has added a fault already.
  std::string GetRequiredText(const std::string& section,
                              const std::string& key) {
    std::string value = GetText(section, key);
    if (value.empty() && !HasFault(section, key))
      AddFault(section, key, 0, "missing");
    return value;
  }

  int GetInt(const std::string& section, const std::string& key) const {
    return static_cast<int>(ParseInteger(GetText(section, key)).value_or(0));
  }

  Duration GetMilliseconds(const std::string& section,
                           const std::string& key) const {
    return std::chrono::milliseconds(GetInt(section, key));
  }

  void ReadInstanceSection() {
    settings_.id = GetRequiredText("instance", "id");
    settings_.region = GetRequiredText("instance", "region");
    settings_.failure_domain = GetRequiredText("instance", "failure_domain");
    settings_.data_folder = GetText("instance", "data_folder");
    settings_.metrics_address = GetText("instance", "metrics_address");
    const auto interface =
        InterfaceKindFromName(GetText("instance", "interface"));
    if (!interface) {
      AddFault("instance", "interface", GetLine("instance", "interface"),
               "must be native or platform");
    }
    settings_.interface = interface.value_or(InterfaceKind::kNative);
    // The secret is optional with interface platform because the settings that
    // the platform provides contain none.
    settings_.cluster_secret_file =
        settings_.interface == InterfaceKind::kNative
            ? GetRequiredText("instance", "cluster_secret_file")
            : GetText("instance", "cluster_secret_file");
    settings_.log_level = GetText("instance", "log_level");
    settings_.trace_file = GetText("instance", "trace_file");
    settings_.trace_sample_percent = GetInt("instance", "trace_sample_percent");
    for (const std::string& name :
         SplitList(GetRequiredText("instance", "roles"))) {
      const auto role = InstanceRoleFromName(name);
      if (!role) {
        AddFault("instance", "roles", GetLine("instance", "roles"),
                 "unknown role " + name);
        continue;
      }
      settings_.roles.push_back(*role);
    }
    const bool known_level = std::find(kLogLevels.begin(), kLogLevels.end(),
                                       settings_.log_level) != kLogLevels.end();
    if (!known_level) {
      AddFault("instance", "log_level", GetLine("instance", "log_level"),
               "must be trace, debug, info, warning or error");
    }
  }

  void ReadEntrySection() {
    settings_.entry_address = GetText("entry", "address");
    settings_.source_address = GetText("entry", "source_address");
    settings_.lookup_address = GetText("entry", "lookup_address");
    settings_.ready_address = GetText("entry", "ready_address");
    settings_.entry_requests = GetInt("entry", "requests");
    settings_.entry_connections = GetInt("entry", "connections");
    settings_.entry_bandwidth =
        ParseDecimal(GetText("entry", "bandwidth_mbps")).value_or(0) *
        kBytesPerMegabit;
    settings_.entry_memory = static_cast<std::size_t>(
        ParseDecimal(GetText("entry", "memory_mb")).value_or(0) *
        kBytesPerMegabyte);
    settings_.control_timeout = GetMilliseconds("entry", "control_timeout_ms");
    settings_.entry_heartbeat = GetMilliseconds("entry", "heartbeat_ms");
    settings_.drain_limit = GetMilliseconds("entry", "drain_limit_ms");
    if (settings_.control_timeout < 2 * settings_.entry_heartbeat) {
      AddFault("entry", "control_timeout_ms",
               GetLine("entry", "control_timeout_ms"),
               "must be at least twice the heartbeat_ms of section entry");
    }
    if (settings_.entry_connections < settings_.entry_requests) {
      AddFault("entry", "connections", GetLine("entry", "connections"),
               "must not be less than requests");
    }
  }

  void ReadControlSection() {
    settings_.election_timeout =
        GetMilliseconds("control", "election_timeout_ms");
    settings_.replica_heartbeat = GetMilliseconds("control", "heartbeat_ms");
    settings_.entry_timeout = GetMilliseconds("control", "entry_timeout_ms");
    settings_.snapshot_entries = GetInt("control", "snapshot_entries");
    if (settings_.election_timeout < 3 * settings_.replica_heartbeat) {
      AddFault(
          "control", "election_timeout_ms",
          GetLine("control", "election_timeout_ms"),
          "must be at least three times the heartbeat_ms of section control");
    }
  }

  void ReadReplicaSections() {
    for (const std::string& name : SectionNames("replica")) {
      const std::string section = "replica/" + name;
      settings_.replicas.push_back({name,
                                    GetRequiredText(section, "peer_address"),
                                    GetRequiredText(section, "admin_address")});
    }
    const bool has_seeds = !GetText("group", "seeds").empty();
    if (settings_.replicas.empty() && !has_seeds)
      AddFault("replica/<name>", "", 0,
               "at least one replica is required if group seeds are not set");
    if (!settings_.replicas.empty() && has_seeds)
      AddFault("group", "seeds", GetLine("group", "seeds"),
               "can't be combined with replica sections");
  }

  void ReadGroupSection() {
    GroupSettings& group = settings_.group;
    group.seeds = SplitList(GetText("group", "seeds"));
    for (const std::string& seed : group.seeds) {
      if (auto reason = CheckValue(SettingType::kAddress, {}, seed))
        AddFault("group", "seeds", GetLine("group", "seeds"),
                 seed + " " + *reason);
    }
    group.host = GetText("group", "host");
    group.link_port = GetInt("group", "link_port");
    group.admin_address = GetText("group", "admin_address");
    group.found = GetText("group", "found") == "true";
    group.target_voters = GetInt("group", "target_voters");
  }

  void ReadDiscoverySections() {
    settings_.discovery_address = GetText("discovery", "address");
    settings_.discovery_interval = GetMilliseconds("discovery", "interval_ms");
    for (const std::string& domain : SectionNames("failure_domain")) {
      settings_.failure_domain_regions[domain] =
          GetRequiredText("failure_domain/" + domain, "region");
    }
    for (const auto& [section_and_key, value] : values_) {
      if (section_and_key.first == "interface")
        settings_.interface_options[section_and_key.second] = value;
    }
  }

  void ReadOperatorSections() {
    for (const std::string& name : SectionNames("operator")) {
      const std::string section = "operator/" + name;
      OperatorSettings operator_settings;
      operator_settings.name = name;
      operator_settings.token_sha256 = GetRequiredText(section, "token_sha256");
      operator_settings.party = GetRequiredText(section, "party");
      operator_settings.branches = SplitList(GetText(section, "branches"));
      if (!operator_settings.token_sha256.empty() &&
          operator_settings.token_sha256.size() != kSha256HexLength) {
        AddFault(section, "token_sha256", GetLine(section, "token_sha256"),
                 "must have 64 hexadecimal digits");
      }
      settings_.operators.push_back(std::move(operator_settings));
    }
  }

  // Adds faults for missing settings that the roles of the instance require.
  void CheckRoles() {
    if (settings_.HasRole(InstanceRole::kEntry))
      GetRequiredText("entry", "address");
    if (!settings_.HasRole(InstanceRole::kControl))
      return;
    GetRequiredText("instance", "data_folder");
    if (!settings_.group.seeds.empty()) {
      GetRequiredText("group", "host");
      GetRequiredText("group", "admin_address");
      return;
    }
    if (settings_.OwnReplica() == nullptr)
      AddFault("replica/" + settings_.id, "", 0,
               "missing; an instance of role control requires its own replica "
               "section");
  }

  std::vector<std::string> SectionNames(const std::string& prefix) const {
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

  int GetLine(const std::string& section, const std::string& key) const {
    const auto found = lines_.find({section, key});
    return found == lines_.end() ? 0 : found->second;
  }

  void AddFault(std::string section,
                std::string key,
                int line,
                std::string reason) {
    faults_.push_back(
        {std::move(section), std::move(key), line, std::move(reason)});
  }

  IniDocument document_;
  std::map<std::pair<std::string, std::string>, std::string> values_;
  std::map<std::pair<std::string, std::string>, int> lines_;
  InstanceSettings settings_;
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

bool OperatorSettings::CanChange(const std::string& branch) const {
  for (const std::string& allowed : branches) {
    if (allowed == "*" || allowed == branch)
      return true;
    if (branch.compare(0, allowed.size() + 1, allowed + "/") == 0)
      return true;
  }
  return false;
}

ParsedInstanceSettings ParseInstanceSettings(std::string_view text) {
  return InstanceFileParser(text).Parse();
}

}  // namespace jacinth::settings
