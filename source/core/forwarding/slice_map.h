#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/slice.h"
#include "core/protocol/table_digest.h"

namespace jacinth::forwarding {

/// Number of slices that the objects of a service are divided into. Much larger
/// than the number of objects in use at a time, so that few of them share a
/// slice.
inline constexpr std::uint32_t kSliceCount = 4'096;

/// Holds the owners of slices that one entry has learned from the leader or has
/// claimed itself, and collects the claims and uses to report to the leader.
class SliceMap {
 public:
  /// Returns the slice of an object.
  static std::uint32_t SliceOf(std::string_view object);

  /// Applies an update from the leader. Ignores updates of older versions, and
  /// those that are based on changes which have not arrived.
  void ApplyUpdate(const protocol::SliceUpdate& update);

  /// Returns the digest of all owners that are held.
  protocol::TableDigest Digest() const;
  /// As Digest(), to be told to the leader, whose next update of parts must
  /// answer it.
  std::string TellDigest();

  /// Returns the owner of a slice; empty if none is known.
  const std::string& OwnerOf(const std::string& service,
                             std::uint32_t slice) const;

  /// Records that a request of the slice was sent to `endpoint`. Claims the
  /// slice for the endpoint unless the current leader has announced the
  /// endpoint as the owner. `owner_usable` is true if the known owner can
  /// receive new requests.
  void RecordSend(const std::string& service,
                  std::uint32_t slice,
                  const std::string& endpoint,
                  bool owner_usable);

  /// Records that a request of the slice was at `endpoint` for `busy`. Counts
  /// only if the endpoint owns the slice.
  void RecordUse(const std::string& service,
                 std::uint32_t slice,
                 const std::string& endpoint,
                 Duration busy);

  /// Returns the number of slices that an endpoint owns.
  int OwnedSliceCount(const std::string& endpoint) const;

  /// Removes and returns claims to report to the leader. If a claim is lost,
  /// the next request of its slice claims it again.
  std::vector<protocol::SliceClaim> TakeClaims();
  bool has_claims() const { return !claims_.empty(); }

  /// Removes and returns the uses to report to the leader.
  std::vector<protocol::SliceUse> TakeUses();

  std::uint64_t version() const { return version_; }

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  struct OwnerRecord {
    std::string endpoint;
    /// Term of the leader that announced the owner; 0 if none did.
    std::uint64_t term = 0;
  };

  void ConfirmOtherParts(const std::vector<int>& parts);
  void SetOwner(OwnerRecord& record, const std::string& endpoint);

  std::uint64_t version_ = 0;
  std::map<Key, OwnerRecord> owners_;
  protocol::TableDigest told_digest_ = protocol::MakeSliceDigest();
  std::map<std::string, int> owned_counts_;
  std::map<Key, protocol::SliceClaim> claims_;
  std::map<Key, Duration> uses_;
};

}  // namespace jacinth::forwarding
