#pragma once

#include <cstddef>

namespace jacinth::quarantine {

/// What an entry may do with a request.
enum class Verdict {
  kClear,
  /// The request may be sent to one endpoint, but not to another one after a
  /// failure.
  kSuspected,
  /// The request must not be sent to any endpoint.
  kBlocked,
};

/// Endpoints that must crash one after the other before a request is
/// suspected, and before it is blocked. One crash says nothing: an endpoint
/// that crashes for another reason takes all its requests with it.
inline constexpr std::size_t kCrashesToSuspect = 2;
inline constexpr std::size_t kCrashesToBlock = 3;

/// Returns the verdict on a request that `crashes` endpoints crashed at.
constexpr Verdict VerdictFor(std::size_t crashes) {
  if (crashes >= kCrashesToBlock)
    return Verdict::kBlocked;
  return crashes >= kCrashesToSuspect ? Verdict::kSuspected : Verdict::kClear;
}

}  // namespace jacinth::quarantine
