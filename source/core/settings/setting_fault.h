#pragma once

#include <string>
#include <vector>

namespace jacinth::settings {

/// One reason for which settings were rejected.
struct SettingFault {
  /// Branch of the settings tree or section of the instance file; empty for
  /// the root and for syntax faults.
  std::string branch;
  /// Empty if the fault does not concern a single key.
  std::string key;
  /// Line in the file, or 0 if the line is unknown or there is no file.
  int line = 0;
  std::string reason;

  bool operator==(const SettingFault&) const = default;
};

/// All faults found, so that an operator can fix them in one pass.
using SettingFaults = std::vector<SettingFault>;

/// Formats a fault as `file:line: [branch] key: reason`. Empty parts are left
/// out.
std::string FormatFault(const std::string& file, const SettingFault& fault);

/// Formats all faults, one per line.
std::string FormatFaults(const std::string& file, const SettingFaults& faults);

}  // namespace jacinth::settings
