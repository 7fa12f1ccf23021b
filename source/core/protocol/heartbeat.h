#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/protocol/command.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/entry_status.h"
#include "core/protocol/slice_list.h"

namespace jacinth::protocol {

/// Entry to control, several times a second.
struct Heartbeat {
  EntryStatus status;
  /// Version of the member list that the entry holds.
  std::uint64_t members_version = 0;
  /// Number of this heartbeat, echoed in the reply.
  std::uint64_t sequence = 0;
  /// Version of the endpoint list that the entry holds.
  std::uint64_t endpoints_version = 0;
  /// Version of the slices' owners that the entry holds.
  std::uint64_t slices_version = 0;
  std::vector<SliceClaim> claims;
  std::vector<SliceUse> uses;

  bool operator==(const Heartbeat&) const = default;
};

/// The settings tree at a revision, or what changed since an earlier one.
struct SettingsUpdate {
  std::uint64_t revision = 0;
  /// INI text of the whole tree; empty if `changes` are given.
  std::string text;
  /// Hash64 of the whole tree's text.
  std::uint64_t checksum = 0;
  /// Revision that `changes` build on; 0 if `text` is given.
  std::uint64_t base_revision = 0;
  std::vector<BranchChange> changes;

  bool operator==(const SettingsUpdate&) const = default;
};

/// The entry instances that the leader believes alive.
struct MemberList {
  /// Term of the leader that made the list, in the upper 32 bits, and a count.
  std::uint64_t version = 0;
  std::vector<EntryStatus> entries;

  bool operator==(const MemberList&) const = default;
};

/// Control to entry. Only a leader that holds its lease sets `leader`.
struct HeartbeatReply {
  std::uint64_t sequence = 0;
  bool leader = false;
  /// Instance id of the leader known to the sender, or empty.
  std::string leader_hint;
  std::uint64_t revision = 0;
  /// Set when the entry's revision is behind (`revision` is 0 otherwise).
  SettingsUpdate update;
  /// Set when the entry's list is behind (`version` is 0 otherwise).
  MemberList members;
  /// Set when the entry's endpoints are behind (`version` is 0 otherwise).
  EndpointUpdate endpoints;
  /// Instances of the replicas known to the sender.
  std::vector<std::string> replicas;
  /// Set when owners of slices changed (`version` is 0 otherwise).
  SliceUpdate slices;

  bool operator==(const HeartbeatReply&) const = default;
};

}  // namespace jacinth::protocol
