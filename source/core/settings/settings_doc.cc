#include "core/settings/settings_doc.h"

#include <array>

#include "core/settings/instance_settings.h"
#include "core/settings/tree_table.h"

namespace jacinth::settings {
namespace {

constexpr std::array kScopeOrder = {
    BranchScope::kRoot,    BranchScope::kServices,
    BranchScope::kService, BranchScope::kServiceRegion,
    BranchScope::kKind,    BranchScope::kEndpoint,
    BranchScope::kRegion,  BranchScope::kFailureDomain,
    BranchScope::kEntry,   BranchScope::kClients,
    BranchScope::kRoutes,  BranchScope::kRoute,
};

std::string RangeText(SettingType type, IntegerRange range) {
  if (type != SettingType::kInteger)
    return std::string(SettingTypeName(type));
  return std::to_string(range.min) + " to " + std::to_string(range.max);
}

std::string DefaultText(std::string_view value) {
  return value.empty() ? "none" : "`" + std::string(value) + "`";
}

std::string ScopeList(BranchScopes scopes) {
  std::string text;
  for (const BranchScope scope : kScopeOrder) {
    if ((scopes & static_cast<BranchScopes>(scope)) == 0)
      continue;
    if (!text.empty())
      text += ", ";
    const std::string pattern(ScopePattern(scope));
    text += pattern.empty() ? "root" : "`" + pattern + "`";
  }
  return text;
}

std::string TreeRows() {
  std::string text;
  for (const TreeSetting& row : TreeSettings()) {
    text += "| `" + std::string(row.key) + "` | " + ScopeList(row.scopes) +
            " | " + RangeText(row.type, row.range) + " | " +
            DefaultText(row.default_value) + " | " + std::string(row.doc) +
            " |\n";
  }
  return text;
}

std::string InstanceRows() {
  std::string text;
  for (const InstanceSetting& row : InstanceSettingTable()) {
    text += "| `[" + std::string(row.section) + "]` | `" +
            std::string(row.key) + "` | " + RangeText(row.type, row.range) +
            " | " + DefaultText(row.default_value) + " | " +
            std::string(row.doc) + " |\n";
  }
  return text;
}

}  // namespace

std::string SettingsPage() {
  return "# Settings\n\n"
         "Made by `jacinthroute --settings-page` from the tables in "
         "`source/core/settings`; a test keeps the two together.\n\n"
         "## The shared tree\n\n"
         "Set through `jacinthctl settings`. A branch inherits what it does "
         "not set from the branch above it.\n\n"
         "| key | branches | value | default | meaning |\n"
         "|---|---|---|---|---|\n" +
         TreeRows() +
         "\n## The instance file\n\n"
         "Read once at start by `jacinthroute --settings FILE`.\n\n"
         "| section | key | value | default | meaning |\n"
         "|---|---|---|---|---|\n" +
         InstanceRows();
}

}  // namespace jacinth::settings
