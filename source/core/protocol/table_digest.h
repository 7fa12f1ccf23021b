#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/protocol/endpoint_list.h"
#include "core/protocol/slice.h"

namespace jacinth::protocol {

/// Checksums of the parts of a table. Two instances that compare them find the
/// parts in which their tables differ, whoever made these tables.
class TableDigest {
 public:
  explicit TableDigest(std::size_t parts) : sums_(parts) {}

  void Add(std::size_t part, std::uint64_t item_hash);
  void Remove(std::size_t part, std::uint64_t item_hash);

  /// Returns 4 bytes for each part; empty for an empty table.
  std::string ToBytes() const;

  /// Returns the parts in which this table differs from one whose ToBytes()
  /// are given: all parts if these bytes are malformed.
  std::vector<int> DifferingParts(std::string_view other) const;

  std::uint32_t SumOf(std::size_t part) const { return sums_[part]; }
  std::size_t parts() const { return sums_.size(); }

 private:
  std::vector<std::uint32_t> sums_;
  std::size_t items_ = 0;
};

/// Returns a digest for a list of endpoints.
TableDigest MakeEndpointDigest();
/// Returns the part of the digest that an endpoint belongs to.
std::size_t EndpointPart(const std::string& id);
/// Returns the hash of an endpoint without its warm-up, whose rest depends on
/// the time.
std::uint64_t EndpointItemHash(const ListedEndpoint& endpoint);

/// Returns a digest for a table of slice owners.
TableDigest MakeSliceDigest();
std::size_t SlicePart(std::uint32_t slice);
std::uint64_t SliceItemHash(const std::string& service,
                            std::uint32_t slice,
                            const std::string& endpoint);

}  // namespace jacinth::protocol
