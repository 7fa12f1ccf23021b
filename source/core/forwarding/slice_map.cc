#include "core/forwarding/slice_map.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::forwarding {
namespace {

using protocol::SliceClaimReason;

/// Bit position of the leader's term in a version.
constexpr unsigned kTermShift = 32;
/// Maximum number of claims in one heartbeat.
constexpr std::size_t kMaxClaimsPerHeartbeat = 256;
/// Maximum number of slices in one report of uses.
constexpr std::size_t kMaxUsesPerReport = 1'024;

}  // namespace

std::uint32_t SliceMap::SliceOf(std::string_view object) {
  return static_cast<std::uint32_t>(Hash64(object) % kSliceCount);
}

void SliceMap::ApplyUpdate(const protocol::SliceUpdate& update) {
  if (update.version == 0 || update.version < version_ ||
      update.base > version_)
    return;
  version_ = update.version;
  if (update.parts)
    ConfirmOtherParts(*update.parts);
  for (const protocol::SliceOwner& owner : update.changed) {
    OwnerRecord& record = owners_[{owner.service, owner.slice}];
    SetOwner(record, owner.endpoint);
    record.term = version_ >> kTermShift;
    claims_.erase({owner.service, owner.slice});
  }
}

// Outside of `parts`, the leader of this version had the same owners as this
// instance when it made the digest.
void SliceMap::ConfirmOtherParts(const std::vector<int>& parts) {
  const protocol::TableDigest now = Digest();
  for (auto& [key, record] : owners_) {
    const std::size_t part = protocol::SlicePart(key.second);
    const bool was_same = std::find(parts.begin(), parts.end(),
                                    static_cast<int>(part)) == parts.end();
    if (was_same && now.SumOf(part) == told_digest_.SumOf(part))
      record.term = version_ >> kTermShift;
  }
}

std::string SliceMap::TellDigest() {
  told_digest_ = Digest();
  return told_digest_.ToBytes();
}

protocol::TableDigest SliceMap::Digest() const {
  protocol::TableDigest digest = protocol::MakeSliceDigest();
  for (const auto& [key, record] : owners_) {
    if (record.endpoint.empty())
      continue;
    digest.Add(protocol::SlicePart(key.second),
               protocol::SliceItemHash(key.first, key.second, record.endpoint));
  }
  return digest;
}

const std::string& SliceMap::OwnerOf(const std::string& service,
                                     std::uint32_t slice) const {
  static const std::string kNone;
  const auto found = owners_.find({service, slice});
  return found == owners_.end() ? kNone : found->second.endpoint;
}

void SliceMap::RecordSend(const std::string& service,
                          std::uint32_t slice,
                          const std::string& endpoint,
                          bool owner_usable) {
  const Key key{service, slice};
  OwnerRecord& record = owners_[key];
  const bool confirmed = record.term == version_ >> kTermShift && version_ != 0;
  if (record.endpoint == endpoint) {
    // A new leader learns existing owners from the claims of the entries that
    // use them.
    if (!confirmed)
      claims_[key] = {{service, slice, endpoint}, SliceClaimReason::kNoOwner};
    return;
  }
  SliceClaimReason reason = SliceClaimReason::kNoOwner;
  if (!record.endpoint.empty() && confirmed) {
    reason = owner_usable ? SliceClaimReason::kOwnerOverloaded
                          : SliceClaimReason::kOwnerUnusable;
  }
  claims_[key] = {{service, slice, endpoint}, reason};
  if (reason == SliceClaimReason::kNoOwner)
    SetOwner(record, endpoint);
}

void SliceMap::RecordUse(const std::string& service,
                         std::uint32_t slice,
                         const std::string& endpoint,
                         Duration busy) {
  if (OwnerOf(service, slice) == endpoint && uses_.size() < kMaxUsesPerReport)
    uses_[{service, slice}] += busy;
}

int SliceMap::OwnedSliceCount(const std::string& endpoint) const {
  const auto found = owned_counts_.find(endpoint);
  return found == owned_counts_.end() ? 0 : found->second;
}

std::vector<protocol::SliceClaim> SliceMap::TakeClaims() {
  std::vector<protocol::SliceClaim> claims;
  while (!claims_.empty() && claims.size() < kMaxClaimsPerHeartbeat) {
    claims.push_back(std::move(claims_.begin()->second));
    claims_.erase(claims_.begin());
  }
  return claims;
}

std::vector<protocol::SliceUse> SliceMap::TakeUses() {
  std::vector<protocol::SliceUse> uses;
  for (const auto& [key, busy] : std::exchange(uses_, {}))
    uses.push_back({key.first, key.second, ToMillis(busy)});
  return uses;
}

void SliceMap::SetOwner(OwnerRecord& record, const std::string& endpoint) {
  if (!record.endpoint.empty())
    --owned_counts_[record.endpoint];
  record.endpoint = endpoint;
  if (!endpoint.empty())
    ++owned_counts_[endpoint];
}

}  // namespace jacinth::forwarding
