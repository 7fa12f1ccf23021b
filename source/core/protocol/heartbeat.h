#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/protocol/command.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/entry_status.h"
#include "core/protocol/rate_limit.h"
#include "core/protocol/settings_piece.h"
#include "core/protocol/slice.h"
#include "core/protocol/suspect_request.h"

namespace jacinth::protocol {

/// Sent by an entry to the control role, several times per second.
struct Heartbeat {
  EntryStatus status;
  /// Version of the member list that the entry holds.
  std::uint64_t members_version = 0;
  /// Sequence number of the heartbeat, which the reply repeats. No other
  /// process of the entry uses it.
  std::uint64_t sequence = 0;
  /// Version of the endpoint list that the entry holds.
  std::uint64_t endpoints_version = 0;
  /// Version of the slice owners that the entry holds.
  std::uint64_t slices_version = 0;
  std::vector<SliceClaim> claims;
  std::vector<SliceUse> uses;
  /// Version of the rate shares that the entry holds.
  std::uint64_t rate_shares_version = 0;
  /// Rate limits that have changed or were not reported for a while.
  std::vector<RateLimitReport> rate_limits;
  /// Set by entries that take settings in pieces.
  std::optional<SettingsPosition> settings_position;
  /// Crashes of endpoints that no leader has received yet.
  std::vector<CrashReport> crashes;
  /// Fingerprints of requests that were answered despite earlier crashes.
  std::vector<std::uint64_t> acquitted;
  /// Version of the suspect requests that the entry holds.
  std::uint64_t suspects_version = 0;
  /// Endpoints that drain, as far as the entry knows. Builds that don't know
  /// the field leave it empty.
  std::vector<DrainReport> drains;
  /// True if the entry takes changes of the member list, and of the endpoints
  /// and slice owners of another leader, instead of whole tables.
  bool takes_changes = false;
  /// TableDigest of the endpoints and of the slice owners that the entry holds,
  /// if these are not from the current leader.
  std::optional<std::string> endpoint_digest;
  std::optional<std::string> slice_digest;
  /// True if the leader's last answer shows that the entry lacks an update of
  /// the endpoints that the leader takes for delivered.
  bool lacks_endpoints = false;
  /// True if the entry's endpoints may be out of date, so that a replica that
  /// is asked reads the platform's list itself, even if it hears from a leader.
  bool asks_listing = false;
  /// The same as `lacks_endpoints` for an update of the settings and of the
  /// member list. A replica that doesn't lead is asked for newer settings.
  bool lacks_settings = false;
  bool lacks_members = false;
  /// True if the entry takes changes of the suspect requests instead of the
  /// whole list.
  bool takes_suspect_changes = false;
  /// The same for the shares of rate limits.
  bool takes_share_changes = false;

  bool operator==(const Heartbeat&) const = default;
};

/// The settings tree at a revision, or its changes since an earlier revision.
struct SettingsUpdate {
  std::uint64_t revision = 0;
  /// INI text of the whole tree; empty if `changes` is used.
  std::string text;
  /// Hash64 of the INI text of the whole tree.
  std::uint64_t checksum = 0;
  /// Revision that `changes` is based on; 0 if `text` is used.
  std::uint64_t base_revision = 0;
  std::vector<BranchChange> changes;

  bool operator==(const SettingsUpdate&) const = default;
};

/// The entry instances that the leader considers alive.
struct MemberList {
  /// Term of the leader that created the list, in the upper 32 bits, and a
  /// counter in the lower ones.
  std::uint64_t version = 0;
  /// All entries, ordered by id, or those that have changed since `base`.
  std::vector<EntryStatus> entries;
  /// Version that the changes are based on; 0 if `entries` is the whole list.
  std::uint64_t base = 0;
  /// Ids of the entries removed since `base`.
  std::vector<std::string> removed;

  bool operator==(const MemberList&) const = default;
};

/// Sent by a control replica to an entry, in reply to a heartbeat or, by the
/// leader, to push changed lists.
struct HeartbeatReply {
  /// Sequence number of the heartbeat; 0 if the message is not a reply.
  std::uint64_t sequence = 0;
  /// True if the sender is the leader. It then holds its lease, if the message
  /// is a reply.
  bool leader = false;
  /// Instance id of the leader as known to the sender; empty if unknown.
  std::string leader_hint;
  /// Current revision of the settings. If the sender is not the leader, the
  /// newest one that it has applied; 0 if it doesn't tell.
  std::uint64_t revision = 0;
  /// Set if the settings of an entry that takes no pieces are outdated;
  /// otherwise its revision is 0.
  SettingsUpdate update;
  /// Set if the entry's member list is outdated; otherwise its version is 0.
  MemberList members;
  /// Set if the entry's endpoint list is outdated; otherwise its version is 0.
  EndpointUpdate endpoints;
  /// Instances of the replicas, as known to the sender; empty if the reply does
  /// not list them.
  std::vector<std::string> replicas;
  /// Set if slice owners have changed; otherwise its version is 0.
  SliceUpdate slices;
  /// The entry's shares of rate limits; its version is 0 if the sender doesn't
  /// know the limits.
  RateShareUpdate rate_shares;
  /// The next piece of a settings update; its revision is 0 if there is none.
  SettingsPiece settings_piece;
  /// Requests suspected of crashing endpoints.
  SuspectUpdate suspects;
  /// Term of the leader that sends the message; 0 if the sender does not lead
  /// or is of a build that does not tell.
  std::uint64_t term = 0;
  /// Endpoints that drain, as far as a replica knows that does not lead but has
  /// read the platform's list. Builds that don't know the field leave it empty.
  std::vector<DrainReport> drains;
  /// Tells how current `drains`, or the leader's list, is. Empty if the sender
  /// has not read the list, or is of a build that does not tell.
  std::optional<ListingState> listing;
  /// Version of the member list that the entry holds if every update that the
  /// leader has sent it before has arrived; 0 if none was sent or the leader
  /// doesn't tell.
  std::uint64_t sent_members_version = 0;

  bool operator==(const HeartbeatReply&) const = default;
};

}  // namespace jacinth::protocol
