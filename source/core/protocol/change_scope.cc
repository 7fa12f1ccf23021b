#include "core/protocol/change_scope.h"

#include <algorithm>
#include <bit>

#include "core/common/hash.h"
#include "core/common/host_name.h"

namespace jacinth::protocol {
namespace {

constexpr std::string_view kRoutePrefix = "route/";
/// Size of the filter for each route, whose name and path are added, and probes
/// for each of both: one in 90 items that weren't added is found.
constexpr std::size_t kBytesPerRoute = 3;
constexpr std::size_t kMinBytes = 64;
constexpr int kProbes = 3;
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kLengthBytes = 256 / kBitsPerByte;

std::uint64_t HashRoute(std::string_view name) {
  return Hash64(name);
}

std::uint64_t HashPath(std::uint64_t host_hash, std::string_view prefix) {
  return Hash64(prefix, host_hash);
}

void SetBit(std::string& bytes, std::size_t bit) {
  char& byte = bytes[bit / kBitsPerByte];
  byte = static_cast<char>(static_cast<unsigned char>(byte) |
                           1U << bit % kBitsPerByte);
}

// Returns the hash of the next probe of an item.
std::uint64_t NextHash(std::uint64_t hash) {
  return std::rotl(hash, 16) * 0x9E3779B97F4A7C15U;
}

// Returns the route that a branch sets, or an empty name if others may inherit
// from it or requests are decided by it otherwise.
std::string_view RouteOf(std::string_view branch) {
  if (branch.substr(0, kRoutePrefix.size()) != kRoutePrefix)
    return {};
  const std::string_view name = branch.substr(kRoutePrefix.size());
  return name.find('/') == std::string_view::npos ? name : std::string_view{};
}

}  // namespace

ChangeScope::ChangeScope(const std::vector<BranchChange>& changes) {
  const bool has_routes_only = std::all_of(
      changes.begin(), changes.end(), [](const BranchChange& change) {
        return !RouteOf(change.branch).empty();
      });
  if (!has_routes_only || changes.empty())
    return;
  bits_.resize(std::max(kMinBytes, kBytesPerRoute * changes.size()));
  for (const BranchChange& change : changes) {
    Add(HashRoute(RouteOf(change.branch)));
    const auto host = change.values.find("host");
    const auto path = change.values.find("path_prefix");
    // A route without a host, such as one that is removed, matches nothing.
    if (host == change.values.end())
      continue;
    const std::string_view prefix =
        path == change.values.end() ? std::string_view{} : path->second;
    Add(HashPath(Hash64(NormalizeHost(host->second)), prefix));
    lengths_.set(std::min(prefix.size(), lengths_.size() - 1));
  }
}

ChangeScope ChangeScope::FromBytes(std::string_view bytes) {
  ChangeScope scope;
  if (bytes.size() <= kLengthBytes)
    return scope;
  for (std::size_t i = 0; i < scope.lengths_.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i / kBitsPerByte]);
    scope.lengths_[i] = (byte >> i % kBitsPerByte & 1U) != 0;
  }
  scope.bits_ = std::string(bytes.substr(kLengthBytes));
  return scope;
}

std::string ChangeScope::ToBytes() const {
  if (bits_.empty())
    return "";
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t i = 0; i < lengths_.size(); ++i) {
    if (lengths_[i])
      SetBit(bytes, i);
  }
  return bytes + bits_;
}

bool ChangeScope::MayInclude(std::string_view host,
                             std::string_view path,
                             std::string_view route) const {
  if (bits_.empty() || (!route.empty() && Contains(HashRoute(route))))
    return true;
  const std::uint64_t host_hash = Hash64(host);
  const std::size_t longest = lengths_.size() - 1;
  if (path.size() >= longest && lengths_[longest])
    return true;
  const std::string_view shorter = path.substr(0, longest - 1);
  for (std::size_t length = 0; length <= shorter.size(); ++length) {
    if (lengths_[length] &&
        Contains(HashPath(host_hash, shorter.substr(0, length))))
      return true;
  }
  return false;
}

void ChangeScope::Add(std::uint64_t hash) {
  const std::size_t bits = bits_.size() * kBitsPerByte;
  for (int probe = 0; probe < kProbes; ++probe) {
    SetBit(bits_, hash % bits);
    hash = NextHash(hash);
  }
}

bool ChangeScope::Contains(std::uint64_t hash) const {
  const std::size_t bits = bits_.size() * kBitsPerByte;
  for (int probe = 0; probe < kProbes; ++probe) {
    const std::size_t bit = hash % bits;
    const auto byte = static_cast<unsigned char>(bits_[bit / kBitsPerByte]);
    if ((byte >> bit % kBitsPerByte & 1U) == 0)
      return false;
    hash = NextHash(hash);
  }
  return true;
}

}  // namespace jacinth::protocol
