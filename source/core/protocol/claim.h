#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/common/outcome.h"
#include "core/common/time.h"

namespace jacinth::protocol {

/// Decision of the control role on a claim.
enum class ClaimVerdict {
  /// The attempt holds the key and can send its request.
  kGranted,
  /// An earlier attempt ran the request; its answer is recorded.
  kRan,
  /// An earlier attempt may still be running.
  kInProgress,
  /// An earlier attempt ended without a known outcome.
  kUnknown,
  /// The key was used for another request.
  kKeyReused,
  /// The record of the key may have been removed already, or the key's issue
  /// time is in the future.
  kKeyExpired,
  /// The attempt was reported as not run before this claim arrived.
  kAttemptClosed,
};

/// Identifies a request of a caller, including its resends.
struct ClaimKey {
  std::string caller;
  std::string key;

  bool operator==(const ClaimKey&) const = default;
  bool operator<(const ClaimKey& other) const {
    return std::tie(caller, key) < std::tie(other.caller, other.key);
  }
};

/// A recorded answer, which is replayed when the caller resends the request.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// True if the body is not recorded, because it is larger than the ledger
  /// keeps or was not received completely.
  bool body_dropped = false;

  bool operator==(const RecordedAnswer&) const = default;
};

/// Sent by an entry to the control role: claims `key` for one attempt.
struct ClaimRequest {
  /// Unique id of the attempt: instance, incarnation and a counter.
  std::string attempt;
  ClaimKey key;
  /// Hash of method, path and body, which must be the same in a resend.
  std::uint64_t fingerprint = 0;
  /// Maximum duration of the attempt, in milliseconds.
  std::int64_t budget_ms = 0;
  /// W3C trace context of the request; empty if it isn't traced.
  std::string traceparent;

  bool operator==(const ClaimRequest&) const = default;
};

/// Reply of a control replica to a ClaimRequest.
struct ClaimReply {
  std::string attempt;
  /// False if the replica can't decide the claim, because it is not the leader
  /// or is shutting down.
  bool decided = false;
  ClaimVerdict verdict = ClaimVerdict::kUnknown;
  RecordedAnswer answer;

  bool operator==(const ClaimReply&) const = default;
};

/// Sent by an entry to the control role: reports the end of an attempt. The
/// outcome kNotRun releases the key.
struct FinishRequest {
  std::string attempt;
  ClaimKey key;
  Outcome outcome = Outcome::kUnknown;
  RecordedAnswer answer;

  bool operator==(const FinishRequest&) const = default;
};

/// Reply of the control role to a FinishRequest: the end of the attempt is
/// committed.
struct FinishReply {
  std::string attempt;

  bool operator==(const FinishReply&) const = default;
};

}  // namespace jacinth::protocol
