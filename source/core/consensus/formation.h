#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/configuration.h"
#include "core/protocol/peer_message.h"

namespace jacinth::consensus {

/// Decides whether a replica with an empty log creates a control group or
/// joins an existing one.
///
/// Only the founder, which is the first of the contacts by name, creates the
/// group, and only after all other contacts have replied that they have no log.
/// Other instances that ask to join become first members as well, up to the
/// size of the group, if they reply the same soon after the contacts: a group
/// that has to grow needs several syncs for each voter that it adds. Of those
/// that have replied by then, the ones are taken that stand furthest apart.
/// All other replicas, and a founder that lost its disk, wait for a group that
/// they can join.
class Formation {
 public:
  enum class Decision {
    kWait,
    /// Create a group with the members in `configuration()`.
    kCreateGroup,
    /// A group exists: start with an empty log and request admission to the
    /// group.
    kJoinGroup,
  };

  /// `contacts` are the instances to probe, including this instance if it is
  /// one of the first members. If `may_create_group` is false, the replica
  /// never creates a group. If `target_voters` is larger than the number of
  /// contacts, other instances fill the group up to it.
  Formation(std::string id,
            std::vector<std::string> contacts,
            bool may_create_group,
            std::size_t target_voters = 0,
            protocol::Location location = {});

  /// Replaces the contacts when the settings change.
  void SetContacts(std::vector<std::string> contacts);

  /// Returns the probes to send, if any are due.
  std::vector<protocol::PeerMessage> OnTick(Time now);

  /// Handles a probe from another instance, which may be a first member.
  void OnProbe(const std::string& instance, Time now);

  /// Handles a reply to a probe.
  void OnProbeReply(const protocol::PeerMessage& message);

  Decision decision() const;

  /// Returns the first members of the group once the decision is kCreateGroup.
  protocol::Configuration configuration() const;

  Time NextTickTime() const { return next_probe_time_; }

 private:
  struct Candidate {
    std::string id;
    protocol::Location location;
  };

  std::vector<Candidate> Candidates() const;
  bool IsFounder() const;
  bool IsContact(const std::string& instance) const;
  bool HasHeardAllContacts() const;

  std::string id_;
  std::vector<std::string> contacts_;
  bool may_create_group_;
  std::size_t target_voters_;
  protocol::Location location_;
  /// By instance, the replicas that have no log.
  std::map<std::string, Candidate> instances_without_log_;
  /// Instances that are no contacts and sent probes, in the order of the first
  /// ones.
  std::vector<std::string> others_;
  /// Time until which the founder waits for `others_`, once it has heard all
  /// contacts.
  std::optional<Time> others_until_;
  Time last_tick_{};
  /// Voters of the existing group; the leader among them admits replicas.
  std::set<std::string> group_instances_;
  bool group_exists_ = false;
  Time next_probe_time_{};
};

/// Creates the reply to a probe, with the members of the group if there is one.
protocol::PeerMessage MakeProbeReply(
    const protocol::PeerMessage& probe,
    const std::string& id,
    bool has_log,
    const protocol::Configuration& members = {},
    const protocol::Location& location = {});

}  // namespace jacinth::consensus
