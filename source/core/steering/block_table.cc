#include "core/steering/block_table.h"

#include <algorithm>
#include <charconv>

#include <asio/ip/address_v4.hpp>

namespace jacinth::steering {
namespace {

constexpr int kAddressBits = 32;
constexpr std::uint64_t kEndOfAddresses = 1ULL << kAddressBits;
/// Marks ranges that belong to no block; not a valid region index.
constexpr RegionIndex kNoRegion = 255;

std::uint64_t EndOf(const ClientBlock& block) {
  return std::uint64_t{block.address} + (1ULL << (kAddressBits - block.length));
}

}  // namespace

std::optional<std::uint32_t> ParseIpv4(std::string_view text) {
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(std::string(text), error);
  if (error)
    return std::nullopt;
  return address.to_uint();
}

std::optional<ClientBlock> ParseClientBlock(std::string_view text,
                                            RegionIndex region_index) {
  const std::size_t slash = text.find('/');
  const auto address = ParseIpv4(text.substr(0, slash));
  if (!address)
    return std::nullopt;
  int length = kAddressBits;
  if (slash != std::string_view::npos) {
    const std::string_view digits = text.substr(slash + 1);
    const char* end = digits.data() + digits.size();
    const auto [parsed_end, error] =
        std::from_chars(digits.data(), end, length);
    if (error != std::errc() || parsed_end != end || length < 0 ||
        length > kAddressBits)
      return std::nullopt;
  }
  const std::uint64_t mask = ~((1ULL << (kAddressBits - length)) - 1);
  return ClientBlock{static_cast<std::uint32_t>(*address & mask), length,
                     region_index};
}

BlockTable::BlockTable(std::vector<ClientBlock> blocks) {
  // Sorts each block before the blocks nested in it.
  std::stable_sort(blocks.begin(), blocks.end(),
                   [](const ClientBlock& left, const ClientBlock& right) {
                     if (left.address != right.address)
                       return left.address < right.address;
                     return left.length < right.length;
                   });
  std::vector<ClientBlock> enclosing;
  const auto end_ranges_until = [&](std::uint64_t address) {
    while (!enclosing.empty() && EndOf(enclosing.back()) <= address) {
      const std::uint64_t end = EndOf(enclosing.back());
      enclosing.pop_back();
      AddRange(end,
               enclosing.empty() ? kNoRegion : enclosing.back().region_index);
    }
  };
  for (const ClientBlock& block : blocks) {
    end_ranges_until(block.address);
    AddRange(block.address, block.region_index);
    enclosing.push_back(block);
  }
  end_ranges_until(kEndOfAddresses);
  starts_.shrink_to_fit();
  region_indexes_.shrink_to_fit();
}

std::optional<RegionIndex> BlockTable::Find(std::uint32_t address) const {
  const auto next = std::upper_bound(starts_.begin(), starts_.end(), address);
  if (next == starts_.begin())
    return std::nullopt;
  const auto index = static_cast<std::size_t>(next - starts_.begin()) - 1;
  if (region_indexes_[index] == kNoRegion)
    return std::nullopt;
  return region_indexes_[index];
}

std::size_t BlockTable::memory_bytes() const {
  return starts_.capacity() * sizeof(std::uint32_t) +
         region_indexes_.capacity() * sizeof(RegionIndex);
}

void BlockTable::AddRange(std::uint64_t start, RegionIndex region_index) {
  if (start >= kEndOfAddresses)
    return;
  // Replaces the last range if the new one starts at the same address, as with
  // a nested block or a block that directly follows another.
  if (!starts_.empty() && starts_.back() == start) {
    region_indexes_.back() = region_index;
    return;
  }
  if (!region_indexes_.empty() && region_indexes_.back() == region_index)
    return;
  starts_.push_back(static_cast<std::uint32_t>(start));
  region_indexes_.push_back(region_index);
}

}  // namespace jacinth::steering
