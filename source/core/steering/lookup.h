#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// One entry instance in a look-up answer.
struct LookupEntry {
  std::string address;
  std::string region;
  std::string failure_domain;
  /// Relative share of the caller's requests; 0 for a standby that is used only
  /// if the other entries fail.
  int weight = 0;

  bool operator==(const LookupEntry&) const = default;
};

/// The answer to a look-up.
struct LookupAnswer {
  std::string service;
  std::uint64_t revision = 0;
  /// Time for which the caller may use the answer.
  Duration ttl{0};
  std::vector<LookupEntry> entries;

  bool operator==(const LookupAnswer&) const = default;
};

/// Selects the entry instances that a caller of `service` should use.
///
/// `client` is the caller's address; if it is empty or in no known block, the
/// caller is assumed to be in the region of the answering instance. `offset`
/// may be any number. It selects the first instance in the answer, so that
/// callers are spread if there are more instances than fit into one answer.
///
/// Fails with kUnknownService, with kBadRequest for a malformed client address,
/// or with kNotReady if there are no settings or no usable instances, or if the
/// service is unknown to an instance without contact to the control role.
Result<LookupAnswer> AnswerLookup(const SteeringSnapshot& snapshot,
                                  std::string_view service,
                                  std::string_view client,
                                  std::uint64_t offset,
                                  Time now);

}  // namespace jacinth::steering
