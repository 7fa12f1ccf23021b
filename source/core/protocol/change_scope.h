#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/protocol/command.h"

namespace jacinth::protocol {

/// The requests that a change of settings may concern, in 3 bytes for each of
/// its routes: an entry that waits for a large change keeps serving the others.
/// Includes few requests that the change doesn't concern.
class ChangeScope {
 public:
  /// A scope with all requests.
  ChangeScope() = default;
  explicit ChangeScope(const std::vector<BranchChange>& changes);

  /// Reverses ToBytes(). Bytes that are malformed give all requests.
  static ChangeScope FromBytes(std::string_view bytes);
  std::string ToBytes() const;

  /// Returns true if the change may concern requests to `path` at `host`, which
  /// the route `route` matches by the settings before it; that is empty if none
  /// does. `host` is normalized.
  bool MayInclude(std::string_view host,
                  std::string_view path,
                  std::string_view route) const;

  bool operator==(const ChangeScope&) const = default;

 private:
  void Add(std::uint64_t hash);
  bool Contains(std::uint64_t hash) const;

  /// Lengths of the path prefixes of the routes in the change; longer ones than
  /// fit count as the longest.
  std::bitset<256> lengths_;
  /// Bits of a Bloom filter; empty if all requests are included.
  std::string bits_;
};

}  // namespace jacinth::protocol
