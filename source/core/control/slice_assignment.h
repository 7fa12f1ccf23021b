#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/control/slice_balancer.h"
#include "core/protocol/slice.h"
#include "core/protocol/table_digest.h"

namespace jacinth::control {

/// The leader's table of slice owners. It lets all entries send the requests
/// for an object to the same endpoint, which has the object warm, no matter
/// which entry a caller is connected to. Follows Slicer (Adya et al., 2016),
/// except that the first entry that needs an owner proposes it.
///
/// Not replicated itself: a new leader starts with the owners recorded in the
/// log. Entries keep the owners they have and claim them again as they use
/// them.
class SliceAssignment {
 public:
  /// Starts a leader's term with the owners recorded in the log.
  void Reset(std::uint64_t term,
             const std::vector<protocol::SliceOwner>& recorded);

  /// Handles an entry's claim. A slice without an owner gets the claimed one. A
  /// current owner is displaced once several entries report that they can't use
  /// it or that it is overloaded. Reports of overload are ignored for some time
  /// after the slice was moved because of load.
  void Claim(const std::string& entry,
             const protocol::SliceClaim& claim,
             Time now);

  /// Removes owners that are not among `usable`.
  void RetainOwners(const std::map<std::string, SliceEndpoint>& usable);

  /// Adds an entry's report of the time that requests of a slice spent at its
  /// owner.
  void AddUse(const protocol::SliceUse& use);

  /// Moves slices from owners where requests wait to idle endpoints, based on
  /// the use reported since the last call, `elapsed` ago. Returns the number of
  /// slices moved.
  std::size_t Rebalance(const std::map<std::string, SliceEndpoint>& endpoints,
                        Duration elapsed,
                        Time now);

  /// Returns the owners that changed since the last call, to be recorded in the
  /// log.
  std::vector<protocol::SliceOwner> TakeUnrecordedOwners();

  /// Returns the owners that changed after `version`, or all of them if that
  /// version is from another term. The update's version is 0 if there is no
  /// change.
  protocol::SliceUpdate UpdateFor(std::uint64_t version) const;

  /// Returns what an entry lacks whose table has `digest`, whichever leader it
  /// is from.
  protocol::SliceUpdate UpdateForDigest(const std::string& digest) const;

  /// Returns true if `version` is from the current term.
  bool IsFromTerm(std::uint64_t version) const;

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return slices_.size(); }

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  struct SliceState {
    std::string endpoint;
    /// Version in which the owner last changed.
    std::uint64_t changed = 0;
    /// Sum of the time that requests spent at the owner since the last
    /// rebalancing.
    Duration busy_time{0};
    /// Moving average of the number of concurrent requests at the owner.
    double requests = 0;
    /// Time of the slice's last move because of its owner's load.
    Time last_load_move{};
    /// Time of the last claim of another owner, by entry.
    std::map<std::string, Time> displacement_claims;
  };

  // Makes the entries receive the owner again.
  void Announce(const Key& key, SliceState& state);
  // An empty `endpoint` leaves the slice without an owner.
  void SetOwner(const Key& key, SliceState& state, const std::string& endpoint);

  std::uint64_t version_ = 0;
  std::map<Key, SliceState> slices_;
  /// Slices by the version in which their owner last changed.
  std::map<std::uint64_t, Key> by_change_;
  /// Digest of the slices that have an owner.
  protocol::TableDigest digest_ = protocol::MakeSliceDigest();
  std::set<Key> unrecorded_;
};

}  // namespace jacinth::control
