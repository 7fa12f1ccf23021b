#pragma once

#include <cstdint>
#include <string>

#include "core/control/sent_version.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::control {

/// What the leader has sent to one entry.
struct EntryDelivery {
  /// Records what a heartbeat confirms.
  void OnHeartbeat(const protocol::Heartbeat& heartbeat, Time now) {
    if (incarnation != heartbeat.status.incarnation) {
      const bool was_queued = is_queued;
      *this = {};
      is_queued = was_queued;
      incarnation = heartbeat.status.incarnation;
    }
    sequence = heartbeat.sequence;
    members.OnHeld(heartbeat.members_version, now);
    takes_member_changes = heartbeat.takes_changes;
    if (heartbeat.lacks_members)
      members.OnLost();
    endpoints.OnHeld(heartbeat.endpoints_version, now);
    if (heartbeat.lacks_endpoints)
      endpoints.OnLost();
    slices.OnHeld(heartbeat.slices_version, now);
    rate_shares = heartbeat.rate_shares_version;
    suspects.OnHeld(heartbeat.suspects_version, now);
    takes_suspect_changes = heartbeat.takes_suspect_changes;
    takes_share_changes = heartbeat.takes_share_changes;
  }

  std::uint64_t incarnation = 0;
  /// Sequence number of the heartbeat that told what the entry holds.
  std::uint64_t sequence = 0;
  SentVersion members;
  bool takes_member_changes = false;
  SentVersion endpoints;
  SentVersion slices;
  SentVersion suspects;
  bool takes_suspect_changes = false;
  /// Version that was last sent. If that message is lost, the version in the
  /// entry's next heartbeat replaces it.
  std::uint64_t rate_shares = 0;
  bool takes_share_changes = false;
  /// True while the entry waits for whole tables of endpoints or slice owners.
  bool is_queued = false;
  bool wants_endpoints = false;
  bool wants_slices = false;
  /// TableDigest of the lists that it holds; empty if it holds none or doesn't
  /// tell.
  std::string endpoint_digest;
  std::string slice_digest;

  bool WantsAny() const { return wants_endpoints || wants_slices; }
  /// Returns true if the entry holds a part of what it wants.
  bool WantsParts() const {
    return (wants_endpoints && !endpoint_digest.empty()) ||
           (wants_slices && !slice_digest.empty());
  }
  /// Returns true if both want the same, as a whole.
  bool WantsSame(const EntryDelivery& other) const {
    return !WantsParts() && !other.WantsParts() &&
           wants_endpoints == other.wants_endpoints &&
           wants_slices == other.wants_slices;
  }
};

}  // namespace jacinth::control
