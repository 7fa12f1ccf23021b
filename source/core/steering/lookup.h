#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/steering/steering_snapshot.h"

namespace jacinth::steering {

/// One entry instance that a caller may use.
struct LookupEntry {
  std::string address;
  std::string region;
  std::string failure_domain;
  /// Share of the caller's requests; 0 means "only if the others fail".
  int weight = 0;

  bool operator==(const LookupEntry&) const = default;
};

/// The answer to a look-up.
struct LookupAnswer {
  std::string service;
  std::uint64_t revision = 0;
  /// How long the caller may use the answer.
  Duration ttl{0};
  std::vector<LookupEntry> entries;

  bool operator==(const LookupAnswer&) const = default;
};

/// Tells which entry instances serve `service` best. Fails with
/// kUnknownService, kBadRequest for a malformed client address, or kNotReady if
/// no instance can be named. `client` is the caller's address or empty; without
/// a known address, the caller is taken to be near the answering instance.
/// `draw` is any number; it spreads callers if there are more instances than
/// are named.
Result<LookupAnswer> AnswerLookup(const SteeringSnapshot& snapshot,
                                  std::string_view service,
                                  std::string_view client,
                                  std::uint64_t offset,
                                  Time now);

}  // namespace jacinth::steering
