#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/slice_list.h"

namespace jacinth::forwarding {

/// Slices that a service's objects are divided into: many more than objects in
/// use at a time, so that few share one.
inline constexpr std::uint32_t kSliceCount = 4'096;

/// What an entry knows of the owners of slices, and the claims that it has to
/// make.
class SliceMap {
 public:
  /// The slice of an object.
  static std::uint32_t SliceOf(std::string_view object);

  /// Takes over the leader's changes.
  void Take(const protocol::SliceUpdate& update);

  /// Owner of a slice; empty if none is known.
  const std::string& OwnerOf(const std::string& service,
                             std::uint32_t slice) const;

  /// A request of the slice was sent to `endpoint`. Claims the slice for it
  /// unless that is the owner that the leader knows.
  void OnSend(const std::string& service,
              std::uint32_t slice,
              const std::string& endpoint,
              bool owner_usable);

  /// A request of the slice was at `endpoint` for `busy`; counted if that is
  /// the owner.
  void OnUse(const std::string& service,
             std::uint32_t slice,
             const std::string& endpoint,
             Duration busy);

  /// Slices that an endpoint owns.
  int OwnedBy(const std::string& endpoint) const;

  /// Claims to be told to the leader; they are made again as slices are used.
  std::vector<protocol::SliceClaim> TakeClaims();
  bool has_claims() const { return !claims_.empty(); }

  /// Uses to be told to the leader.
  std::vector<protocol::SliceUse> TakeUses();

  std::uint64_t version() const { return version_; }

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  struct Row {
    std::string endpoint;
    /// Term of the leader that knows the row; 0 for none.
    std::uint64_t term = 0;
  };

  void SetOwner(Row& row, const std::string& endpoint);

  std::uint64_t version_ = 0;
  std::map<Key, Row> rows_;
  std::map<std::string, int> owned_;
  std::map<Key, protocol::SliceClaim> claims_;
  std::map<Key, Duration> uses_;
};

}  // namespace jacinth::forwarding
