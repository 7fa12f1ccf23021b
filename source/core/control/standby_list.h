#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/table_digest.h"

namespace jacinth::control {

/// What a replica that doesn't lead tells entries that miss their leader: the
/// endpoints that drain, from readings of the platform's list of its own, so
/// that entries needn't wait for an election to learn of them.
class StandbyList {
 public:
  /// Records that an entry asks. `digest` is the TableDigest of its endpoints,
  /// empty if it tells none.
  void OnAsked(const std::string& entry, const std::string& digest, Time now);

  /// Returns true if the list must be read now: at most once per interval.
  bool TakeReading(Time now);

  /// Replaces what is known by a listing.
  void ApplyListing(const std::vector<protocol::ListedEndpoint>& list);

  /// Returns the endpoints that drain, as of the last listing, in the parts of
  /// the list in which that of `digest` differs. All, if `digest` is empty.
  std::vector<protocol::DrainReport> DrainsFor(const std::string& digest) const;

  /// Returns the entries that have asked lately, by id, and their digests.
  std::map<std::string, std::string> Askers(Time now);

 private:
  struct Asker {
    Time asked;
    std::string digest;
  };

  std::map<std::string, Asker> askers_;
  Time next_reading_{};
  protocol::TableDigest digest_ = protocol::MakeEndpointDigest();
  /// With the part of the list that each belongs to.
  std::vector<std::pair<int, protocol::DrainReport>> drains_;
};

}  // namespace jacinth::control
