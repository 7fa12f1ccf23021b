#pragma once

#include <string_view>

#include "core/common/outcome.h"

namespace jacinth {

/// All kinds of errors that the system reports to its clients.
enum class ErrorKind {
  kBadRequest,
  kUnauthorized,
  kForbidden,
  kUnknownService,
  kUnknownBranch,
  kUnknownPath,
  kMissingIdempotencyKey,
  kKeyReused,
  kKeyExpired,
  kClaimInProgress,
  kOutcomeUnknown,
  kRevisionConflict,
  kInvalidSettings,
  kBodyTooLarge,
  kDeadlineExceeded,
  kOverloaded,
  kNoEndpoint,
  kRequestQuarantined,
  kEndpointFailed,
  kAnswerIncomplete,
  kNotReady,
  kDraining,
  kNotLeader,
  kControlUnreachable,
  kStorageFailed,
  kCorruptData,
  kTimeout,
  kInternal,
};

/// Describes how one kind of error is reported over HTTP and by jacinthctl.
struct ErrorKindInfo {
  ErrorKind kind;
  std::string_view name;
  std::string_view title;
  int http_status;
  int exit_code;
  /// Outcome of the caller's request that is reported if no attempt was made.
  Outcome outcome;
};

/// Returns the description of `kind`.
const ErrorKindInfo& GetErrorKindInfo(ErrorKind kind);

/// Returns the kind with the given name, or kInternal if the name is unknown.
ErrorKind ErrorKindFromName(std::string_view name);

}  // namespace jacinth
