#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/configuration.h"
#include "core/protocol/peer_message.h"

namespace jacinth::consensus {

/// Decides how a replica with an empty log begins.
///
/// Only the founder (the first of the contacts by name) creates the group, and
/// only after every other contact has said that it has no log. All others, and
/// a founder that lost its disk, wait for a group to join.
class Formation {
 public:
  enum class Decision {
    kWait,
    /// Create the group with `configuration()`.
    kFound,
    /// A group exists: start empty and ask it for admission.
    kJoin,
  };

  /// `contacts` are the instances to ask, with this one if it is among the
  /// first members. Without `may_found` the replica only joins.
  Formation(std::string id, std::vector<std::string> contacts, bool may_found);

  /// Replaces the contacts, as the settings may name others later on.
  void SetContacts(std::vector<std::string> contacts);

  /// Returns the probes to send, if any are due.
  std::vector<protocol::PeerMessage> OnTick(Time now);

  /// Notes a reply to a probe.
  void OnProbeReply(const protocol::PeerMessage& message);

  Decision decision() const;

  /// The group's first members, once the decision is kFound.
  protocol::Configuration configuration() const;

  Time NextWake() const { return next_probe_; }

 private:
  bool IsFounder() const;

  std::string id_;
  std::vector<std::string> contacts_;
  bool may_found_;
  /// Replica id by instance, for instances without a log.
  std::map<std::string, std::string> unformed_;
  /// Members of the group that exists: one of them leads and admits.
  std::set<std::string> members_;
  bool formed_elsewhere_ = false;
  Time next_probe_{};
};

/// Builds the reply to a probe, with the members of the group if there is one.
protocol::PeerMessage MakeProbeReply(
    const protocol::PeerMessage& probe,
    const std::string& id,
    bool has_log,
    const protocol::Configuration& members = {});

}  // namespace jacinth::consensus
