#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinth::steering {

/// Index of a region in a list that the owner of the table keeps.
using RegionIndex = std::uint8_t;

/// A block of IPv4 client addresses that belongs to a region.
struct ClientBlock {
  std::uint32_t address = 0;
  /// Bits of the prefix, 0 to 32.
  int length = 0;
  RegionIndex region_index = 0;
};

/// Parses `a.b.c.d/n` or a single address. Returns nullopt if the text is
/// malformed.
std::optional<ClientBlock> ParseClientBlock(std::string_view text,
                                            RegionIndex region_index);

/// Parses a dotted IPv4 address. Returns nullopt if the text is malformed.
std::optional<std::uint32_t> ParseIpv4(std::string_view text);

/// Maps client addresses to regions by longest prefix match.
///
/// Nested blocks are flattened into disjoint ranges of five bytes each, so that
/// millions of blocks fit into the memory of a small instance. The table is
/// immutable and can be shared between threads.
class BlockTable {
 public:
  BlockTable() = default;
  explicit BlockTable(std::vector<ClientBlock> blocks);

  /// Returns the region of an address; nullopt if no block contains it.
  std::optional<RegionIndex> Find(std::uint32_t address) const;

  std::size_t ranges() const { return starts_.size(); }
  /// Memory used by the ranges.
  std::size_t memory_bytes() const;

 private:
  void AddRange(std::uint64_t start, RegionIndex region_index);

  /// First address of each range, ascending; a range ends where the next
  /// begins.
  std::vector<std::uint32_t> starts_;
  std::vector<RegionIndex> region_indexes_;
};

}  // namespace jacinth::steering
