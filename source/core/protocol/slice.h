#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinth::protocol {

/// The endpoint that owns a slice, which is preferred for requests for the
/// slice's objects because it is warm for them. A slice is a subset of a
/// service's objects, selected by the hash of their names.
struct SliceOwner {
  std::string service;
  std::uint32_t slice = 0;
  /// Empty if the slice no longer has an owner.
  std::string endpoint;

  bool operator==(const SliceOwner&) const = default;
};

/// Why an entry claims a slice.
enum class SliceClaimReason {
  /// There is no owner, or the current leader has not announced it.
  kNoOwner,
  /// The owner can't receive requests from this entry.
  kOwnerUnusable,
  /// The owner had no capacity left for a request.
  kOwnerOverloaded,
};

/// Sent by an entry to the control role: claims a slice for the endpoint to
/// which the entry sent a request. The reason says why the entry did not rely
/// on an owner that the current leader has announced.
struct SliceClaim {
  SliceOwner owner;
  SliceClaimReason reason = SliceClaimReason::kNoOwner;

  bool operator==(const SliceClaim&) const = default;
};

/// Sent by an entry to the control role: the total time that requests of a
/// slice spent at its owner since the last report.
struct SliceUse {
  std::string service;
  std::uint32_t slice = 0;
  std::int64_t busy_ms = 0;

  bool operator==(const SliceUse&) const = default;
};

/// Slice owners that changed after the version that an entry holds.
struct SliceUpdate {
  /// Term of the leader, in the upper 32 bits, and a counter in the lower ones;
  /// 0 if there is no update.
  std::uint64_t version = 0;
  std::vector<SliceOwner> changed;
  /// Version that the changes are based on: an entry that holds an older one
  /// lacks others. 0 if they apply to any version.
  std::uint64_t base = 0;
  /// Parts of the table (see TableDigest) in which the entry's table differed:
  /// `changed` holds all owners in them, and in all other parts the tables are
  /// the same. Empty if `changed` is not limited to parts.
  std::optional<std::vector<int>> parts;

  bool operator==(const SliceUpdate&) const = default;
};

}  // namespace jacinth::protocol
