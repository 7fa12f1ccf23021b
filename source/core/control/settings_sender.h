#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/common/time.h"
#include "core/protocol/heartbeat.h"

namespace jacinth::control {

/// Sends settings from the leader, or a replica that is asked, to the entries.
///
/// An update is packed once for all entries that hold the same revision. Each
/// entry gets it in pieces, the next one when its heartbeat confirms the last
/// one, so that a large update takes only a part of the entry's link and never
/// more than one piece is on its way.
class SettingsSender {
 public:
  /// Returns the update from a revision, 0 for none, to the current one.
  using MakeUpdate =
      std::function<protocol::SettingsUpdate(std::uint64_t held_revision)>;

  /// Forgets all entries and updates, at the start of a leader's term.
  void Reset();

  /// Forgets the entries that aren't listed.
  void RetainEntries(const std::set<std::string>& entries);

  /// Records what an entry holds, has received and lacks.
  void OnHeartbeat(const std::string& entry,
                   const protocol::Heartbeat& heartbeat);

  /// Adds what the entry needs next to get to revision `current` to `reply`:
  /// nothing if it is there, or if what was sent last may still be on its way.
  void AddNext(const std::string& entry,
               std::uint64_t current,
               const MakeUpdate& make_update,
               protocol::HeartbeatReply& reply,
               Time now);

  /// Adds the next piece towards revision `current` for an entry that asks a
  /// replica which doesn't serve it otherwise: nothing if it is there, or takes
  /// no pieces. Keeps no record of the entry.
  void AddAsked(const protocol::Heartbeat& heartbeat,
                std::uint64_t current,
                const MakeUpdate& make_update,
                protocol::HeartbeatReply& reply);

 private:
  struct PackedUpdate {
    /// Start of the update.
    protocol::SettingsPosition position;
    std::string bytes;
    /// Set if the update takes several pieces.
    std::string scope;
  };
  struct EntryState {
    std::uint64_t incarnation = 0;
    std::uint64_t held_revision = 0;
    /// Nothing if the entry takes only whole updates, as older builds do.
    std::optional<protocol::SettingsPosition> position;
    /// Time of the last message that no heartbeat has confirmed yet.
    std::optional<Time> sent;
    /// Checksum of the last update of which a piece was sent; 0 if there is
    /// none.
    std::uint64_t sending = 0;
  };

  void AddPiece(EntryState& state,
                std::uint64_t current,
                const MakeUpdate& make_update,
                protocol::HeartbeatReply& reply);
  const PackedUpdate& FindOrPack(const EntryState& state,
                                 std::uint64_t current,
                                 const MakeUpdate& make_update);
  void DropUnused();

  std::map<std::string, EntryState> entries_;

  /// Newest last.
  std::deque<PackedUpdate> packed_;
  /// The last update for entries that take only whole ones.
  protocol::SettingsUpdate whole_;
  std::uint64_t whole_held_revision_ = 0;
};

}  // namespace jacinth::control
