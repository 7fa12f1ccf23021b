#include <algorithm>

#include "core/consensus/replica.h"
#include "core/wire/state_codec.h"

namespace jacinth::consensus {

using protocol::Configuration;
using protocol::LogEntryKind;

namespace {

/// Number of syncs for which an entry may wait: the one that is running when it
/// arrives, and its own.
constexpr int kSyncsPerEntry = 2;

}  // namespace

void Replica::AdmitReplica(const std::string& id, Time now) {
  if (role_ != ReplicaRole::kLeader || halted_ || transfer_started_)
    return;
  if (configuration_.IsVoter(id))
    return;
  Configuration next = configuration_;
  if (!configuration_.IsLearner(id)) {
    // Another learner of the same instance is an incarnation that has lost its
    // disk.
    std::erase_if(next.learners, [&](const std::string& learner) {
      return protocol::InstanceFromReplicaId(learner) ==
             protocol::InstanceFromReplicaId(id);
    });
    next.learners.push_back(id);
    // What is known of it is from before it was removed.
    progress_.erase(id);
    ChangeConfiguration(next, now);
    return;
  }
  if (!ConfigurationSettled() || !HasCaughtUp(id, now))
    return;
  // Changes one voter at a time. A replaced incarnation has lost its disk and
  // counts for nothing, so it is removed before the new one is added. A silent
  // voter may still hold what others lose, so it is removed afterwards.
  const std::string replaced = PreviousIncarnation(id);
  if (replaced == options_.id)
    return;
  if (!replaced.empty()) {
    std::erase(next.voters, replaced);
  } else if (MayBecomeVoter(id, now)) {
    std::erase(next.learners, id);
    next.voters.push_back(id);
    std::sort(next.voters.begin(), next.voters.end());
  } else {
    return;
  }
  ChangeConfiguration(next, now);
}

bool Replica::HasCaughtUp(const std::string& learner, Time now) const {
  const auto found = progress_.find(learner);
  if (found == progress_.end() || IsLost(learner, now) ||
      IsSilent(learner, options_.election_timeout, now))
    return false;
  const Progress& progress = found->second;
  return progress.match >= commit_index_ ||
         (progress.reached &&
          now <= *progress.reached + kSyncsPerEntry * options_.replace_after);
}

// Returns the voter of the same instance as `learner`, or an empty string.
std::string Replica::PreviousIncarnation(const std::string& learner) const {
  for (const std::string& voter : configuration_.voters) {
    if (protocol::InstanceFromReplicaId(voter) ==
        protocol::InstanceFromReplicaId(learner))
      return voter;
  }
  return "";
}

// Returns true if the group isn't full, or has one voter to be replaced.
bool Replica::NeedsVoter(Time now) const {
  const std::size_t size = configuration_.voters.size();
  if (options_.target_voters == 0 || size < options_.target_voters)
    return true;
  return size == options_.target_voters && IsLost(WeakestVoter(now), now);
}

// Returns true if the group gains from a learner that has caught up, and from
// no other one more.
bool Replica::MayBecomeVoter(const std::string& learner, Time now) const {
  if (!MayAddVoter(now))
    return false;
  return NeedsVoter(now) ? IsBestSuccessor(learner, now)
                         : SpreadsVoters(learner, now);
}

// Returns true unless one more voter would raise the quorum of a group that
// commits nothing at this moment.
bool Replica::MayAddVoter(Time now) const {
  Configuration next = configuration_;
  next.voters.emplace_back();
  return next.QuorumSize() == configuration_.QuorumSize() ||
         options_.replace_after == Duration{0} ||
         now <= commits_.last_progress() + options_.replace_after / 2;
}

void Replica::DropSurplusVoter(Time now) {
  if (role_ != ReplicaRole::kLeader || halted_ || transfer_started_)
    return;
  const bool is_surplus = options_.target_voters != 0 &&
                          configuration_.voters.size() > options_.target_voters;
  if (!is_surplus || !ConfigurationSettled())
    return;
  // At the start of a term nobody has replied yet.
  const bool knows_all =
      std::all_of(configuration_.voters.begin(), configuration_.voters.end(),
                  [&](const std::string& voter) {
                    return voter == options_.id || lease_->HasReplied(voter) ||
                           IsSilent(voter, options_.replace_after, now);
                  });
  if (!knows_all)
    return;
  const std::string weakest = WeakestVoter(now);
  const bool is_lost = IsLost(weakest, now);
  // Waits while one may still be busy that falls silent.
  const bool may_be_lost =
      std::any_of(configuration_.voters.begin(), configuration_.voters.end(),
                  [&](const std::string& voter) {
                    return voter != options_.id &&
                           IsSilent(voter, options_.election_timeout, now);
                  });
  if (may_be_lost && !is_lost)
    return;
  Configuration next = configuration_;
  std::erase(next.voters, is_lost ? weakest : VoterToSpare(now));
  ChangeConfiguration(next, now);
}

void Replica::DropSilentLearner(Time now) {
  if (role_ != ReplicaRole::kLeader || halted_ || transfer_started_)
    return;
  if (!ConfigurationSettled())
    return;
  for (const std::string& learner : configuration_.learners) {
    // One that was added lately hasn't had the time to answer.
    const auto progress = progress_.find(learner);
    const Time added =
        progress == progress_.end() ? now : progress->second.added;
    const Time contact = std::max(lease_->LastContact(learner), added);
    if (now < contact + options_.replace_after)
      continue;
    Configuration next = configuration_;
    std::erase(next.learners, learner);
    ChangeConfiguration(next, now);
    return;
  }
}

bool Replica::ConfigurationSettled() const {
  return commit_index_ >= std::max(first_index_of_term_, last_voter_change_);
}

void Replica::ChangeConfiguration(const Configuration& configuration,
                                  Time now) {
  const bool changes_voters = configuration.voters != configuration_.voters;
  const std::uint64_t index = AppendLocally(
      LogEntryKind::kConfiguration, wire::EncodeConfiguration(configuration));
  if (changes_voters) {
    last_voter_change_ = index;
    voters_changed_ = now;
  }
  UpdateConfiguration();
  Broadcast(now);
}

}  // namespace jacinth::consensus
