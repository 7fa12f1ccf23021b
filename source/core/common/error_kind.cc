#include "core/common/error_kind.h"

#include <array>

namespace jacinth {
namespace {

// Exit codes of jacinthctl: 1 usage error, 2 refused, 3 conflict,
// 4 unreachable, 5 failed, 6 outcome unknown.
constexpr std::array kErrorKinds = {
    ErrorKindInfo{ErrorKind::kBadRequest, "bad_request", "Malformed request",
                  400, 1, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kUnauthorized, "unauthorized", "Unknown operator",
                  401, 2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kForbidden, "forbidden",
                  "Operation not allowed for this operator", 403, 2,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kUnknownService, "unknown_service",
                  "Unknown service", 404, 2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kUnknownBranch, "unknown_branch",
                  "Unknown settings branch", 404, 2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kUnknownPath, "unknown_path", "Unknown path", 404,
                  2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kMissingIdempotencyKey, "missing_idempotency_key",
                  "Idempotency-Key required", 400, 1, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kKeyReused, "key_reused",
                  "Idempotency key already used for another request", 422, 2,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kKeyExpired, "key_expired",
                  "Idempotency key outside its validity period", 422, 2,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kClaimInProgress, "claim_in_progress",
                  "An attempt with this key is still running", 409, 6,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kOutcomeUnknown, "outcome_unknown",
                  "The outcome of the request is unknown", 504, 6,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kRevisionConflict, "revision_conflict",
                  "The settings have changed since that revision", 409, 3,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kInvalidSettings, "invalid_settings",
                  "Invalid settings", 422, 2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kBodyTooLarge, "body_too_large",
                  "Request body too large", 413, 2, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kDeadlineExceeded, "deadline_exceeded",
                  "The deadline has passed", 504, 5, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kOverloaded, "overloaded", "Out of capacity", 503,
                  5, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kNoEndpoint, "no_endpoint",
                  "No endpoint can serve the request", 503, 5,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kRequestQuarantined, "request_quarantined",
                  "The request crashes the endpoints that run it", 503, 5,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kEndpointFailed, "endpoint_failed",
                  "The endpoint failed during the request", 502, 6,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kAnswerIncomplete, "answer_incomplete",
                  "The endpoint's answer was cut short or malformed", 502, 6,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kNotReady, "not_ready",
                  "This instance lacks current settings", 503, 4,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kDraining, "draining", "This instance is leaving",
                  503, 4, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kNotLeader, "not_leader",
                  "This replica is not the leader", 503, 4, Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kControlUnreachable, "control_unreachable",
                  "The control quorum can't be reached", 503, 4,
                  Outcome::kNotRun},
    ErrorKindInfo{ErrorKind::kStorageFailed, "storage_failed", "Storage failed",
                  500, 5, Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kCorruptData, "corrupt_data",
                  "Stored data is damaged", 500, 5, Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kTimeout, "timeout", "No answer in time", 504, 6,
                  Outcome::kUnknown},
    ErrorKindInfo{ErrorKind::kInternal, "internal", "Internal error", 500, 5,
                  Outcome::kUnknown},
};

}  // namespace

const ErrorKindInfo& GetErrorKindInfo(ErrorKind kind) {
  for (const auto& info : kErrorKinds) {
    if (info.kind == kind)
      return info;
  }
  return kErrorKinds.back();
}

ErrorKind ErrorKindFromName(std::string_view name) {
  for (const auto& info : kErrorKinds) {
    if (info.name == name)
      return info.kind;
  }
  return ErrorKind::kInternal;
}

}  // namespace jacinth
