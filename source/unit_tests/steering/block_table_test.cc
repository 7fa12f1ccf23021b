#include "core/steering/block_table.h"

#include <algorithm>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace jacinth::steering {
namespace {

// Reference implementation: a linear search for the longest matching block, of
// equal ones the last.
std::optional<RegionIndex> FindLinearly(const std::vector<ClientBlock>& blocks,
                                        std::uint32_t address) {
  std::optional<RegionIndex> region_index;
  int longest = -1;
  for (const ClientBlock& block : blocks) {
    const std::uint64_t size = 1ULL << (32 - block.length);
    const bool inside = address >= block.address &&
                        address - std::uint64_t{block.address} < size;
    if (!inside || block.length < longest)
      continue;
    longest = block.length;
    region_index = block.region_index;
  }
  return region_index;
}

}  // namespace

TEST_CASE("Parsed blocks are masked to their prefix") {
  const auto block = ParseClientBlock("10.1.2.3/8", 4);
  REQUIRE(block);
  CHECK(block->address == 0x0a000000U);
  CHECK(block->length == 8);
  CHECK(ParseClientBlock("0.0.0.0/0", 0)->address == 0);
  CHECK(ParseClientBlock("255.255.255.255", 0)->length == 32);
  for (const char* bad : {"10.1.2/8", "10.1.2.3/33", "10.1.2.3/-1", "x", "",
                          "10.1.2.3/", "10.1.2.3/8x"})
    CHECK_FALSE(ParseClientBlock(bad, 0));
}

TEST_CASE(
    "Property: the table agrees with a linear search through all blocks") {
  const bool ok = rc::check("blocks", [] {
    const auto raw = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 256))));
    std::vector<ClientBlock> blocks;
    for (const auto& [high, low, length] : raw) {
      // Only the first and the last byte vary, so that blocks nest and adjoin.
      const auto address = static_cast<std::uint32_t>(high) << 24U |
                           static_cast<std::uint32_t>(low);
      const int bits = length % 33;
      const std::uint64_t mask = ~((1ULL << (32 - bits)) - 1);
      blocks.push_back({static_cast<std::uint32_t>(address & mask), bits,
                        static_cast<RegionIndex>(length % 7)});
    }
    const BlockTable table(blocks);
    for (const ClientBlock& block : blocks) {
      const auto last = static_cast<std::uint32_t>(
          block.address + (1ULL << (32 - block.length)) - 1);
      for (const std::uint32_t address :
           {block.address, block.address - 1, last, last + 1})
        RC_ASSERT(table.Find(address) == FindLinearly(blocks, address));
    }
  });
  CHECK(ok);
}

}  // namespace jacinth::steering
