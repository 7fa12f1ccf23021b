#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jacinth::admin {

/// Returns the settings branch whose `drain` key drains the target at `path`,
/// which is `entry/<id>`, `region/<name>`, `failure_domain/<region>/<name>` or
/// `endpoint/<service>/<name>`. Returns nothing for other paths.
std::optional<std::string> FindDrainBranch(std::string_view path);

}  // namespace jacinth::admin
