#pragma once

#include <string>
#include <vector>

namespace jacinth::settings {

/// A person or program authorized to call the administration API.
struct OperatorSettings {
  std::string name;
  /// SHA-256 of the bearer token, in hexadecimal.
  std::string token_sha256;
  /// Organization of the operator.
  std::string party;
  /// Branches that the operator is allowed to change, including the branches
  /// below them; `*` for all.
  std::vector<std::string> branches;

  /// Returns whether the operator is allowed to change `branch`.
  bool CanChange(const std::string& branch) const;
};

}  // namespace jacinth::settings
