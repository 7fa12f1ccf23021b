#pragma once

#include <string>

namespace jacinth::settings {

/// Returns the contents of docs/SETTINGS.md, generated from the tables of
/// settings.
std::string GenerateSettingsPage();

}  // namespace jacinth::settings
