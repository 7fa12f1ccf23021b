#pragma once

#include <cstddef>
#include <string_view>

#include "core/settings/setting_fault.h"
#include "core/settings/tree.h"

namespace jacinth::settings {

/// Longest value of a setting, in characters.
inline constexpr std::size_t kMaxValueLength = 160;

/// Result of parsing a settings tree; `tree` is valid only without faults.
struct ParsedTree {
  Tree tree;
  SettingFaults faults;
};

/// Returns all faults of a tree: unknown branches and keys, invalid and missing
/// values, and settings that contradict each other.
SettingFaults ValidateTree(const Tree& tree);

/// Parses and validates INI text. Faults include line numbers where known.
ParsedTree ParseTree(std::string_view text);

}  // namespace jacinth::settings
