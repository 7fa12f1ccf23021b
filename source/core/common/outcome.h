#pragma once

#include <optional>
#include <string_view>

namespace jacinth {

/// Whether an endpoint ran a request, as far as this is known.
enum class Outcome {
  kRan,
  kNotRun,
  kUnknown,
};

/// Returns "ran", "not-run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

/// Parses a name returned by OutcomeName.
std::optional<Outcome> OutcomeFromName(std::string_view name);

}  // namespace jacinth
