#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// How often endpoints are allowed to run a request.
enum class Execution {
  kRepeatable,
  /// Sent again only if it certainly has not run.
  kSingleAttempt,
  /// Claimed in the ledger by its idempotency key before it is sent.
  kAtMostOnce,
};

/// Returns "repeatable", "single_attempt" or "at_most_once".
std::string_view ExecutionName(Execution execution);

/// Parses a name returned by ExecutionName.
std::optional<Execution> ExecutionFromName(std::string_view name);

}  // namespace jacinth
