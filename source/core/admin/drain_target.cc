#include "core/admin/drain_target.h"

#include <vector>

#include "core/common/split.h"

namespace jacinth::admin {

std::optional<std::string> FindDrainBranch(std::string_view path) {
  const std::vector<std::string> parts = Split(path, '/');
  if (parts.size() == 2 && (parts[0] == "entry" || parts[0] == "region"))
    return parts[0] + "/" + parts[1];
  if (parts.size() == 3 && parts[0] == "failure_domain")
    return "region/" + parts[1] + "/failure_domain/" + parts[2];
  if (parts.size() == 3 && parts[0] == "endpoint")
    return "service/" + parts[1] + "/endpoint/" + parts[2];
  return std::nullopt;
}

}  // namespace jacinth::admin
