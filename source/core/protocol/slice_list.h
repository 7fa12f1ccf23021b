#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinth::protocol {

/// The endpoint that keeps the objects of one slice warm. A slice is a part of
/// a service's objects by the hash of their names.
struct SliceOwner {
  std::string service;
  std::uint32_t slice = 0;
  /// Empty if the slice has no owner any more.
  std::string endpoint;

  bool operator==(const SliceOwner&) const = default;
};

/// Why an entry claims a slice.
enum class SliceClaimReason {
  kNoOwner,
  /// The owner may not get new work from this entry.
  kOwnerUnusable,
  /// The owner had no room for a request.
  kOwnerCrowded,
};

/// Entry to control: where an entry has sent requests of a slice that has no
/// owner it could use.
struct SliceClaim {
  SliceOwner owner;
  SliceClaimReason reason = SliceClaimReason::kNoOwner;

  bool operator==(const SliceClaim&) const = default;
};

/// Entry to control: how long requests of a slice were at its owner since the
/// last report, all together.
struct SliceUse {
  std::string service;
  std::uint32_t slice = 0;
  std::int64_t busy_ms = 0;

  bool operator==(const SliceUse&) const = default;
};

/// Owners that changed after the version that an entry holds.
struct SliceUpdate {
  /// Term of the leader, in the upper 32 bits, and a count; 0 if there is no
  /// update.
  std::uint64_t version = 0;
  std::vector<SliceOwner> changed;

  bool operator==(const SliceUpdate&) const = default;
};

}  // namespace jacinth::protocol
