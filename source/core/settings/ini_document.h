#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/settings/setting_fault.h"

namespace jacinth::settings {

/// A `key = value` line and the section that contains it.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

/// A parsed INI text: entries and sections in file order, and syntax faults.
struct IniDocument {
  std::vector<IniEntry> entries;
  std::vector<std::string> sections;
  SettingFaults faults;
};

/// Parses INI text. The result lists syntax faults and duplicates.
IniDocument ParseIni(std::string_view text);

}  // namespace jacinth::settings
