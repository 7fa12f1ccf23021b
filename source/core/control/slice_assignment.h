#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/control/slice_balancer.h"
#include "core/protocol/slice_list.h"

namespace jacinth::control {

/// The leader's record of which endpoint owns each slice, so that all entries
/// send the requests for an object to the endpoint that knows it, wherever
/// their callers come from. After Slicer (Adya et al., 2016), but owners are
/// proposed by the first entry that needs one, and only kept here.
///
/// Not replicated: entries keep what they know, and claim it again from a new
/// leader as they use it.
class SliceAssignment {
 public:
  /// Begins a leader's term with the owners that were recorded.
  void Reset(std::uint64_t term,
             const std::vector<protocol::SliceOwner>& recorded);

  /// Takes an entry's claim: a slice without an owner gets the one claimed; an
  /// owner is displaced once several entries can't use it, or had no room there
  /// and the slice hasn't moved lately.
  void Claim(const std::string& entry,
             const protocol::SliceClaim& claim,
             Time now);

  /// Frees the slices of endpoints that are not among `usable`.
  void KeepOnly(const std::map<std::string, SliceHost>& usable);

  /// An entry tells how long requests of a slice were at its owner.
  void NoteUse(const protocol::SliceUse& use);

  /// Moves slices from owners where requests wait to idle endpoints, by the
  /// uses told since the last call. `elapsed` is the time since then. Returns
  /// how many were moved.
  std::size_t Rebalance(const std::map<std::string, SliceHost>& hosts,
                        Duration elapsed,
                        Time now);

  /// Owners that changed since the last call, to be recorded.
  std::vector<protocol::SliceOwner> TakeUnrecorded();

  /// What an entry that holds `version` lacks.
  protocol::SliceUpdate UpdateFor(std::uint64_t version) const;

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return rows_.size(); }

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  struct Row {
    std::string endpoint;
    std::uint64_t changed = 0;
    /// Time that requests were at the owner since the last rebalancing.
    Duration busy{0};
    /// Requests at the owner at a time, a moving average.
    double requests = 0;
    /// When the slice last moved because of its owner's load.
    Time load_moved_at{};
    /// Entries that lately could not use the owner.
    std::map<std::string, Time> objections;
  };

  void SetOwner(const Key& key, Row& row, const std::string& endpoint);

  std::uint64_t version_ = 0;
  std::map<Key, Row> rows_;
  std::set<Key> unrecorded_;
};

}  // namespace jacinth::control
