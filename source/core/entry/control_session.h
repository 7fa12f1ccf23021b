#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/forwarding/slice_map.h"
#include "core/protocol/heartbeat.h"
#include "core/settings/fleet_settings.h"

namespace jacinth::entry {

/// What an entry instance knows from the control role, and how fresh it is.
///
/// The first settings are taken only from a leader that held its lease after
/// this instance had asked; later ones only replace older revisions.
class ControlSession {
 public:
  ControlSession(protocol::EntryStatus self,
                 Duration heartbeat,
                 Duration timeout);

  /// The heartbeat to send to every replica, if one is due.
  std::optional<protocol::Heartbeat> OnTick(Time now);

  /// Takes over what a replica answered. Returns true if anything changed that
  /// look-ups or requests depend on.
  bool OnReply(const protocol::HeartbeatReply& reply, Time now);

  /// True if the last heartbeats have not been answered by a leader, so that
  /// the next must go to every replica known.
  bool IsSearching(Time now) const;

  /// Instances that may know the leader.
  const std::vector<std::string>& contacts() const { return contacts_; }
  void SetContacts(std::vector<std::string> contacts);

  /// Endpoints out of the platform's list by id, and the version held.
  const std::map<std::string, protocol::ListedEndpoint>& endpoints() const {
    return endpoints_;
  }
  /// How much longer an endpoint is cold.
  Duration RemainingColdTime(const std::string& id, Time now) const;
  /// Takes over a list that this instance has read itself.
  void ApplyEndpointList(const std::vector<protocol::ListedEndpoint>& list,
                         Time now);
  /// When the endpoints were last known to be up to date.
  Time endpoints_confirmed_at() const { return endpoints_confirmed_at_; }
  /// Version of the leader's list; 0 if this instance read the list itself.
  std::uint64_t endpoints_version() const { return endpoints_version_; }
  /// Owners of slices, and the claims to be told.
  forwarding::SliceMap& slices() { return slices_; }
  const forwarding::SliceMap& slices() const { return slices_; }
  /// Makes the next heartbeat come soon, as there are claims to tell.
  void ExpediteHeartbeat(Time now);

  /// Counts changes of endpoints().
  std::uint64_t endpoint_changes() const { return endpoint_changes_; }

  /// Announces that the instance is leaving.
  void SetDraining();

  /// True while a leader is known to count this instance as alive.
  bool InContact(Time now) const { return now < contact_until_; }
  Time contact_until() const { return contact_until_; }

  /// Settings in force; null before the first ones came.
  const std::shared_ptr<const settings::FleetSettings>& fleet() const {
    return fleet_;
  }
  const std::vector<protocol::EntryStatus>& members() const {
    return members_.entries;
  }
  std::uint64_t members_version() const { return members_.version; }
  const protocol::EntryStatus& self() const { return self_; }
  /// Instance of the leader, or empty.
  const std::string& leader() const { return leader_; }
  Duration heartbeat() const { return heartbeat_interval_; }

 private:
  struct SentHeartbeat {
    std::uint64_t sequence;
    Time sent;
  };

  std::optional<Time> FindSendTime(std::uint64_t sequence) const;
  bool ApplySettings(const protocol::SettingsUpdate& update);
  bool ApplyEndpointUpdate(const protocol::EndpointUpdate& update, Time now);
  void AddContact(const std::string& instance);
  bool SetEndpoint(const protocol::ListedEndpoint& endpoint, Time now);
  void RemoveUnlisted(const std::set<std::string>& listed_ids);

  protocol::EntryStatus self_;
  Duration heartbeat_interval_;
  Duration timeout_;
  Time next_heartbeat_{};
  std::uint64_t sequence_ = 0;
  std::deque<SentHeartbeat> sent_;
  Time contact_until_{};
  std::string leader_;
  Time last_leader_reply_{};
  settings::Tree tree_;
  std::shared_ptr<const settings::FleetSettings> fleet_;
  protocol::MemberList members_;
  std::vector<std::string> contacts_;
  std::map<std::string, protocol::ListedEndpoint> endpoints_;
  /// When each endpoint that was listed as cold is warm.
  std::map<std::string, Time> cold_until_;
  forwarding::SliceMap slices_;
  std::uint64_t endpoints_version_ = 0;
  std::uint64_t endpoint_changes_ = 0;
  Time endpoints_confirmed_at_{};
};

}  // namespace jacinth::entry
