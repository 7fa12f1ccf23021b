#include "core/protocol/table_digest.h"

#include <numeric>

#include "core/common/hash.h"

namespace jacinth::protocol {
namespace {

constexpr std::size_t kEndpointParts = 64;
constexpr std::size_t kSliceParts = 256;
constexpr std::size_t kBytesPerPart = 4;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

void TableDigest::Add(std::size_t part, std::uint64_t item_hash) {
  sums_[part] += static_cast<std::uint32_t>(item_hash);
  ++items_;
}

void TableDigest::Remove(std::size_t part, std::uint64_t item_hash) {
  sums_[part] -= static_cast<std::uint32_t>(item_hash);
  --items_;
}

std::string TableDigest::ToBytes() const {
  std::string bytes;
  if (items_ == 0)
    return bytes;
  bytes.reserve(sums_.size() * kBytesPerPart);
  for (const std::uint32_t sum : sums_) {
    for (std::size_t i = 0; i < kBytesPerPart; ++i)
      bytes.push_back(static_cast<char>(sum >> (i * kBitsPerByte)));
  }
  return bytes;
}

std::vector<int> TableDigest::DifferingParts(std::string_view other) const {
  std::vector<int> parts(sums_.size());
  std::iota(parts.begin(), parts.end(), 0);
  if (!other.empty() && other.size() != sums_.size() * kBytesPerPart)
    return parts;
  std::erase_if(parts, [&](int part) {
    const auto index = static_cast<std::size_t>(part);
    std::uint32_t sum = 0;
    for (std::size_t i = kBytesPerPart; !other.empty() && i-- > 0;) {
      const auto byte =
          static_cast<unsigned char>(other[index * kBytesPerPart + i]);
      sum = (sum << kBitsPerByte) | byte;
    }
    return sum == sums_[index];
  });
  return parts;
}

TableDigest MakeEndpointDigest() {
  return TableDigest(kEndpointParts);
}

std::size_t EndpointPart(const std::string& id) {
  return Hash64(id) % kEndpointParts;
}

std::uint64_t EndpointItemHash(const ListedEndpoint& endpoint) {
  std::uint64_t hash =
      Hash64(endpoint.id, static_cast<std::uint64_t>(endpoint.started_ms));
  hash = Hash64(endpoint.service, hash);
  hash = Hash64(endpoint.address, hash);
  hash = Hash64(endpoint.failure_domain, hash);
  hash += static_cast<std::uint64_t>(endpoint.slots);
  return Hash64(endpoint.draining ? "draining" : "", hash);
}

TableDigest MakeSliceDigest() {
  return TableDigest(kSliceParts);
}

std::size_t SlicePart(std::uint32_t slice) {
  return slice % kSliceParts;
}

std::uint64_t SliceItemHash(const std::string& service,
                            std::uint32_t slice,
                            const std::string& endpoint) {
  return Hash64(endpoint, Hash64(service, slice));
}

}  // namespace jacinth::protocol
