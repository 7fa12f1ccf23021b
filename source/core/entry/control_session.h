#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/entry/settings_receiver.h"
#include "core/forwarding/slice_map.h"
#include "core/protocol/heartbeat.h"
#include "core/settings/fleet_settings.h"

namespace jacinth::entry {

/// State that an entry instance has received from the control role, and its
/// age.
///
/// The first settings are accepted only from a leader that held its lease after
/// this instance had sent the heartbeat that it answers. Later settings are
/// accepted only if they have a newer revision.
class ControlSession {
 public:
  ControlSession(protocol::EntryStatus self,
                 Duration heartbeat_interval,
                 Duration timeout);

  /// Returns the next heartbeat if one is due.
  std::optional<protocol::Heartbeat> OnTick(Time now);

  /// Applies a replica's reply. Returns true if state that look-ups or requests
  /// depend on has changed.
  bool OnReply(const protocol::HeartbeatReply& reply, Time now);

  /// Returns true if no leader has answered the most recent heartbeats, so that
  /// the next one must go to all contacts.
  bool IsSearching(Time now) const;

  /// Returns true if the leader has had time to answer the heartbeat before the
  /// last one and hasn't, so that others are asked what they know.
  bool MissesReply(Time now) const;

  /// Returns the instances to send a heartbeat to while the leader is unknown:
  /// the one that another named as the leader, and some of the contacts, others
  /// each time.
  std::vector<std::string> TakeAskedContacts();

  /// Returns the question to send to StandbyContacts() if drains are old and it
  /// is time to ask.
  std::optional<protocol::Heartbeat> TakeQuestion(Time now);

  /// A heartbeat for a replica that doesn't lead.
  struct Question {
    std::string contact;
    protocol::Heartbeat heartbeat;
  };

  /// Returns the questions that are due because newer settings may be in force
  /// than what is held: to some replicas, which revision they have applied, and
  /// to one that has named a newer one, for the next piece of its settings.
  std::vector<Question> TakeSettingsQuestions(Time now);

  /// Adds a digest of endpoints() to a heartbeat, for replicas that don't lead.
  void AddEndpointDigest(protocol::Heartbeat& heartbeat) const;

  /// Returns the contacts to ask for drains while the leader doesn't answer or
  /// has no news: the same ones at all entries, so that few replicas read the
  /// list.
  std::vector<std::string> StandbyContacts() const;
  void SetContacts(std::vector<std::string> contacts);

  /// Endpoints of the platform's list by id.
  const std::map<std::string, protocol::ListedEndpoint>& endpoints() const {
    return endpoints_;
  }
  /// Returns the remaining time for which an endpoint is cold.
  Duration RemainingColdTime(const std::string& id, Time now) const;
  /// Replaces the endpoints with a list that this instance has read from the
  /// platform.
  void ApplyEndpointList(const std::vector<protocol::ListedEndpoint>& list,
                         Duration took,
                         Time now);
  /// Marks the listed processes of endpoints as draining, whoever has read
  /// that. Returns true if that is new for any.
  bool ApplyDrains(const std::vector<protocol::DrainReport>& drains);
  /// Returns true if endpoints() was ever received or read.
  bool HasEndpointList() const { return has_endpoint_list_; }
  /// Time at which the platform's list was as endpoints() says: the beginning
  /// of the reading, by whoever has read it, as far as it is known that nothing
  /// of it is missing here.
  Time endpoints_confirmed_at() const { return endpoints_confirmed_at_; }
  /// The same for the endpoints that drain, of which also replicas tell that
  /// don't lead.
  Time drains_confirmed_at() const { return drains_confirmed_at_; }
  /// Returns true if drains may be missing here that the platform's list has
  /// shown for some time, so that others than the leader are asked.
  bool AreDrainsOld(Time now) const;
  /// Age at which they count as old.
  Duration MaxDrainsAge() const;
  /// Version of the leader's endpoint list; 0 if this instance has read the
  /// list from the platform.
  std::uint64_t endpoints_version() const { return endpoints_version_; }
  /// Owners of slices, and the slice claims to send with the next heartbeat.
  forwarding::SliceMap& slices() { return slices_; }
  const forwarding::SliceMap& slices() const { return slices_; }
  /// Shares of the rate limits of endpoints.
  const protocol::RateShareUpdate& rate_shares() const { return rate_shares_; }

  /// Brings the next heartbeat forward, as slice claims or a changed rate limit
  /// are waiting to be sent.
  void ExpediteHeartbeat(Time now);

  /// Number of changes to endpoints() so far.
  std::uint64_t endpoint_changes() const { return endpoint_changes_; }

  /// Marks the instance as draining and makes the next heartbeat due at once.
  void SetDraining();

  /// Tells whether the instance reaches no endpoint, and makes the next
  /// heartbeat due at once.
  void SetIsolated(bool isolated);

  /// Tells whether the instance has known no endpoints since its start, and
  /// makes the next heartbeat due at once.
  void SetStarting(bool starting);

  /// Returns true while a leader is known to consider this instance alive: the
  /// last heartbeat that a leader answered was sent less than the control
  /// timeout ago.
  bool InContact(Time now) const { return now < contact_until_; }
  Time contact_until() const { return contact_until_; }

  /// Returns true if a leader that was asked less than the control timeout ago
  /// had no settings that are newer than the ones in force here, and no replica
  /// has named newer ones.
  bool HasNewestSettings(Time now) const {
    return InContact(now) && !IsOutdated();
  }
  /// Returns true if a replica has named a newer revision, whether it leads or
  /// not.
  bool IsOutdated() const { return self_.revision < newest_revision_; }

  /// Time at which the settings in force were the newest ones: when the last
  /// heartbeat was sent that a leader has answered by naming their revision or
  /// an earlier one.
  Time settings_confirmed_at() const { return settings_confirmed_at_; }
  /// Returns true if a leader has named a newer revision, which may have
  /// replaced the settings in force more than `bound` ago; never if `bound` is
  /// zero, if this build can't apply the newer ones, or if no message of a
  /// leader has arrived for the control timeout: they may not come for long
  /// then.
  bool HasReplacedSettings(Time now, Duration bound) const {
    return bound > Duration{0} && self_.revision < leader_revision_ &&
           !needs_whole_tree_ && now < last_leader_message_ + timeout_ &&
           now > settings_confirmed_at_ + bound;
  }
  /// Returns true if such newer settings may decide the request otherwise, as
  /// far as is known of them.
  bool MayBeReplaced(std::string_view host,
                     std::string_view path,
                     Time now,
                     Duration bound) const;
  /// Returns true if newer settings may have been in force for some time, so
  /// that others than the leader are asked.
  bool AreSettingsOld(Time now) const;
  /// Newest revision that a replica has named.
  std::uint64_t newest_revision() const { return newest_revision_; }

  /// Settings in force; null until the first ones have been received.
  const std::shared_ptr<const settings::FleetSettings>& fleet() const {
    return fleet_;
  }
  const std::vector<protocol::EntryStatus>& members() const {
    return members_.entries;
  }
  std::uint64_t members_version() const { return members_.version; }
  const protocol::EntryStatus& self() const { return self_; }
  /// Highest term of a leader that has answered; 0 if none has told its term.
  std::uint64_t leader_term() const { return leader_term_; }
  /// Instance id of the leader; empty if none is known.
  const std::string& leader() const { return leader_; }
  /// Interval between heartbeats, which grows with the fleet.
  Duration HeartbeatInterval() const;

 private:
  struct SentHeartbeat {
    std::uint64_t sequence;
    Time sent;
    /// What it said of the settings held.
    std::uint64_t revision = 0;
    protocol::SettingsPosition position;
    /// Replica that was asked for settings.
    std::string contact = {};
  };

  const SentHeartbeat* FindSent(std::uint64_t sequence) const;
  std::optional<Time> FindQuestionTime(std::uint64_t sequence) const;
  protocol::Heartbeat MakeHeartbeat();
  bool ApplySettings(const protocol::SettingsUpdate& update);
  bool ApplyChanges(const protocol::SettingsUpdate& update);
  bool ApplyTree(const protocol::SettingsUpdate& update);
  bool ApplyReceived();
  bool ApplyReplicaSettings(const protocol::HeartbeatReply& reply, Time now);
  void FetchNext(const protocol::HeartbeatReply& reply, bool advanced);
  Question MakeSettingsQuestion(std::string contact, Time now);
  bool ApplyEndpointUpdate(const protocol::EndpointUpdate& update, Time now);
  Duration SearchInterval() const;
  void OnLeaderHint(const std::string& leader, Time now);
  int MemberCount() const;
  void AddContact(const std::string& instance);
  bool SetEndpoint(const protocol::ListedEndpoint& endpoint, Time now);
  void TakeContacts(std::size_t count, std::vector<std::string>& asked);
  void RemoveUnlisted(const std::set<std::string>& listed_ids,
                      const std::optional<std::vector<int>>& parts);
  bool ApplyMembers(const protocol::MemberList& update);
  void AddDigests(protocol::Heartbeat& heartbeat);
  void CheckListing(const protocol::HeartbeatReply& reply, Time sent, Time now);
  void CheckSettings(const protocol::HeartbeatReply& reply,
                     const SentHeartbeat& answered,
                     Time now);
  void CheckMembers(const protocol::HeartbeatReply& reply, Time now);
  bool LearnRevision(std::uint64_t revision);
  std::uint64_t ToldRevision() const;
  Time NewestUntil(std::uint64_t revision) const;
  void ConfirmSettings();
  void ConfirmEndpoints(Time at);
  void ConfirmDrains(Time at);

  protocol::EntryStatus self_;
  Duration heartbeat_interval_;
  Duration timeout_;
  Time next_heartbeat_{};
  std::uint64_t first_sequence_;
  std::uint64_t sequence_;
  /// Last heartbeat that a leader has answered.
  std::uint64_t answered_sequence_;
  /// True if the next heartbeat is due as soon as the last one is answered.
  bool expedites_next_ = false;
  std::deque<SentHeartbeat> sent_;
  Time contact_until_{};
  std::string leader_;
  Time last_leader_reply_{};
  /// Time of the last message of a leader, however late it answered.
  Time last_leader_message_{};
  /// Highest term of a leader that has answered; 0 if none has told its term.
  std::uint64_t leader_term_ = 0;
  /// Newest revision that a replica has named, and that a leader has.
  std::uint64_t newest_revision_ = 0;
  std::uint64_t leader_revision_ = 0;
  Time settings_confirmed_at_{};
  /// Last time at which each revision that isn't held yet was the newest one:
  /// when the heartbeat was sent whose answer named it.
  std::map<std::uint64_t, Time> named_revisions_;
  /// True if the last piece of settings changed nothing, so that an answer
  /// without a piece doesn't mean that one was lost.
  bool ignored_piece_ = false;
  SettingsReceiver receiver_;
  /// True if an update couldn't be applied, so that the whole tree is needed.
  bool needs_whole_tree_ = false;
  settings::Tree tree_;
  std::shared_ptr<const settings::FleetSettings> fleet_;
  protocol::MemberList members_;
  std::vector<std::string> contacts_;
  /// Leader that a contact has named and that hasn't been asked yet.
  std::string hinted_leader_;
  std::string last_hint_;
  std::size_t next_contact_ = 0;
  std::map<std::string, protocol::ListedEndpoint> endpoints_;
  /// End of the warm-up of each endpoint that was listed as cold.
  std::map<std::string, Time> cold_until_;
  forwarding::SliceMap slices_;
  protocol::RateShareUpdate rate_shares_;
  std::uint64_t endpoints_version_ = 0;
  /// Sequence number of the last heartbeat before the list was read from the
  /// platform.
  std::uint64_t list_replaced_after_ = 0;
  /// Sequence number of the last heartbeat with a digest of the slice owners.
  std::uint64_t told_slices_with_ = 0;
  std::uint64_t endpoint_changes_ = 0;
  bool has_endpoint_list_ = false;
  Time endpoints_confirmed_at_{};
  Time drains_confirmed_at_{};
  /// Interval at which the leader reads the platform's list; 0 if unknown.
  Duration listing_interval_{0};
  /// True if the next heartbeat tells the leader that an update is missing, and
  /// the sequence number of the last heartbeat that did.
  bool lacks_endpoints_ = false;
  std::uint64_t told_lack_with_ = 0;
  /// The same for the settings and the member list.
  bool lacks_settings_ = false;
  std::uint64_t told_settings_lack_with_ = 0;
  bool lacks_members_ = false;
  std::uint64_t told_members_lack_with_ = 0;
  /// Questions that may still be answered, and the number of questions since
  /// drains were last known not to be old.
  std::deque<SentHeartbeat> sent_questions_;
  std::uint64_t questions_ = 0;
  Time next_question_{};
  /// Questions about settings that may still be answered, and how often several
  /// replicas were asked for their revision.
  std::deque<SentHeartbeat> settings_questions_;
  std::uint64_t settings_rounds_ = 0;
  Time next_settings_question_{};
  /// Number of these questions since a leader has answered.
  std::uint64_t asked_since_answer_ = 0;
  /// Replica to ask for the next piece of settings; empty if there is none. The
  /// sequence number of the last question for a piece.
  std::string fetch_from_;
  std::uint64_t fetched_with_ = 0;
  /// Time at which the last piece of a leader arrived.
  Time last_leader_piece_{};
};

}  // namespace jacinth::entry
