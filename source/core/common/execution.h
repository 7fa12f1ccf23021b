#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// How often a request may be run by endpoints.
enum class Execution {
  kRepeatable,
  /// Sent to an endpoint again only if it surely has not run.
  kSingleAttempt,
  /// Claimed in the ledger by its idempotency key before it is sent.
  kAtMostOnce,
};

/// Returns "repeatable", "single_attempt" or "at_most_once".
std::string_view ExecutionName(Execution execution);

/// Parses the names given by ExecutionName.
std::optional<Execution> ExecutionFromName(std::string_view name);

}  // namespace jacinth
