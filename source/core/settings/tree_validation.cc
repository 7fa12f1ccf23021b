#include "core/settings/tree_validation.h"

#include <map>
#include <string>
#include <utility>

#include "core/common/execution.h"
#include "core/common/split.h"
#include "core/settings/ini_document.h"
#include "core/settings/tree_table.h"

namespace jacinth::settings {
namespace {

// Branch paths are INI section names, which inih limits to 49 characters.
constexpr std::size_t kMaxBranchLength = 49;

class TreeValidator {
 public:
  explicit TreeValidator(const Tree& tree) : tree_(tree) {}

  SettingFaults Validate() {
    for (const auto& [branch, values] : tree_.branches())
      CheckBranch(branch, values);
    for (const std::string& service : tree_.ChildNames("service"))
      CheckService("service/" + service);
    for (const std::string& route : tree_.ChildNames("route"))
      CheckRoute("route/" + route);
    return std::move(faults_);
  }

 private:
  void CheckBranch(const std::string& branch, const Tree::Values& values) {
    const auto scope = FindBranchScope(branch);
    if (!scope) {
      AddFault(branch, "", "unknown branch");
      return;
    }
    if (branch.size() > kMaxBranchLength)
      AddFault(branch, "", "branch path is longer than 49 characters");
    for (const auto& [key, value] : values)
      CheckSetting(branch, *scope, key, value);
  }

  void CheckSetting(const std::string& branch,
                    BranchScope scope,
                    const std::string& key,
                    const std::string& value) {
    const TreeSettingSpec* spec = FindTreeSetting(key);
    if (spec == nullptr) {
      AddFault(branch, key, "unknown key");
      return;
    }
    if ((spec->scopes & static_cast<BranchScopeMask>(scope)) == 0) {
      AddFault(branch, key, "can't be set in this branch");
      return;
    }
    if (value.size() > kMaxValueLength) {
      AddFault(branch, key, "value is longer than 160 characters");
      return;
    }
    if (auto reason = CheckValue(spec->type, spec->range, value))
      AddFault(branch, key, std::move(*reason));
  }

  void CheckService(const std::string& service) {
    for (const std::string& name : tree_.ChildNames(service + "/endpoint"))
      CheckEndpoint(service + "/endpoint/" + name);
    for (const std::string& name : tree_.ChildNames(service + "/kind"))
      CheckKind(service + "/kind/" + name);
    const int share_sum = GetInt(service, "normal_share_percent") +
                          GetInt(service, "background_share_percent");
    if (share_sum > 100) {
      AddFault(
          service, "normal_share_percent",
          "the shares of ranks normal and background exceed 100 percent in "
          "total");
    }
  }

  void CheckEndpoint(const std::string& branch) {
    Require(branch, "address");
    Require(branch, "region");
    Require(branch, "failure_domain");
    const auto address = tree_.FindEffectiveValue(branch, "address");
    if (!address)
      return;
    const auto [it, inserted] =
        branches_by_address_.emplace(address->value, branch);
    if (!inserted)
      AddFault(branch, "address", "already used by " + it->second);
  }

  void CheckKind(const std::string& branch) {
    Require(branch, "path_prefix");
    const auto prefix = tree_.FindEffectiveValue(branch, "path_prefix");
    if (prefix && prefix->value.front() != '/')
      AddFault(branch, "path_prefix", "must start with '/'");
  }

  void CheckRoute(const std::string& branch) {
    Require(branch, "host");
    Require(branch, "path_prefix");
    const auto prefix = tree_.FindEffectiveValue(branch, "path_prefix");
    if (prefix && prefix->value.front() != '/')
      AddFault(branch, "path_prefix", "must start with '/'");
    const auto execution = tree_.FindEffectiveValue(branch, "execution");
    if (execution && !ExecutionFromName(execution->value)) {
      AddFault(branch, "execution",
               "must be repeatable, single_attempt or at_most_once");
    }
    const auto service = tree_.FindEffectiveValue(branch, "service");
    const auto split = tree_.FindEffectiveValue(branch, "split");
    if (service.has_value() == split.has_value())
      AddFault(branch, "service",
               "exactly one of service and split must be set");
    if (service)
      CheckServiceExists(branch, "service", service->value);
    if (split)
      CheckSplit(branch, split->value);
  }

  void CheckSplit(const std::string& branch, const std::string& split) {
    for (const std::string& part : SplitList(split)) {
      const std::size_t colon = part.rfind(':');
      const auto weight = colon == std::string::npos
                              ? std::nullopt
                              : ParseInteger(part.substr(colon + 1));
      if (!weight || *weight < 0) {
        AddFault(branch, "split", part + " does not have the form name:weight");
        continue;
      }
      CheckServiceExists(branch, "split", part.substr(0, colon));
    }
  }

  void CheckServiceExists(const std::string& branch,
                          const std::string& key,
                          const std::string& service) {
    if (tree_.Find("service/" + service) == nullptr)
      AddFault(branch, key, "unknown service " + service);
  }

  void Require(const std::string& branch, const std::string& key) {
    if (!tree_.FindEffectiveValue(branch, key))
      AddFault(branch, key, "missing");
  }

  int GetInt(const std::string& branch, const std::string& key) const {
    const auto effective = tree_.FindEffectiveValue(branch, key);
    const std::string_view text = effective
                                      ? std::string_view(effective->value)
                                      : FindTreeSetting(key)->default_value;
    return static_cast<int>(ParseInteger(text).value_or(0));
  }

  void AddFault(const std::string& branch,
                const std::string& key,
                std::string reason) {
    faults_.push_back({branch, key, 0, std::move(reason)});
  }

  const Tree& tree_;
  std::map<std::string, std::string> branches_by_address_;
  SettingFaults faults_;
};

}  // namespace

SettingFaults ValidateTree(const Tree& tree) {
  return TreeValidator(tree).Validate();
}

ParsedTree ParseTree(std::string_view text) {
  ParsedTree parsed;
  IniDocument document = ParseIni(text);
  std::map<std::pair<std::string, std::string>, int> lines;
  for (IniEntry& entry : document.entries) {
    lines[{entry.section, entry.key}] = entry.line;
    parsed.tree.Set(entry.section, entry.key, std::move(entry.value));
  }
  parsed.faults = std::move(document.faults);
  for (SettingFault& fault : ValidateTree(parsed.tree)) {
    const auto line = lines.find({fault.branch, fault.key});
    if (line != lines.end())
      fault.line = line->second;
    parsed.faults.push_back(std::move(fault));
  }
  return parsed;
}

std::string FormatFault(const std::string& file, const SettingFault& fault) {
  std::string text = file;
  if (fault.line != 0)
    text += ":" + std::to_string(fault.line);
  if (!text.empty())
    text += ": ";
  if (!fault.branch.empty())
    text += "[" + fault.branch + "] ";
  if (!fault.key.empty())
    text += fault.key + ": ";
  return text + fault.reason;
}

std::string FormatFaults(const std::string& file, const SettingFaults& faults) {
  std::string text;
  for (const SettingFault& fault : faults)
    text += FormatFault(file, fault) + "\n";
  return text;
}

}  // namespace jacinth::settings
