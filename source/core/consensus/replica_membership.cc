#include <algorithm>
#include <optional>

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
  if (found == progress_.end() ||
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
  return size == options_.target_voters &&
         IsSilent(LongestSilentVoter(), options_.replace_after, now);
}

// Returns true if the group gains from a learner that has caught up, and from
// no other one more.
bool Replica::MayBecomeVoter(const std::string& learner, Time now) const {
  return NeedsVoter(now) ? IsBestSuccessor(learner, now)
                         : SpreadsVoters(learner, now);
}

// Returns true if no other learner that has caught up stands further from the
// voters that stay.
bool Replica::IsBestSuccessor(const std::string& learner, Time now) const {
  const std::string longest_silent = LongestSilentVoter();
  const std::string lost =
      options_.target_voters != 0 &&
              IsSilent(longest_silent, options_.replace_after, now)
          ? longest_silent
          : "";
  const VoterSpread spread = SpreadWith(learner, lost);
  return std::none_of(
      configuration_.learners.begin(), configuration_.learners.end(),
      [&](const std::string& other) {
        return other != learner && SpreadWith(other, lost) < spread &&
               PreviousIncarnation(other).empty() && HasCaughtUp(other, now);
      });
}

// Returns true if the group bears the loss of a region or failure domain better
// once `learner` has replaced another voter.
bool Replica::SpreadsVoters(const std::string& learner, Time now) const {
  if (configuration_.voters.size() != options_.target_voters)
    return false;
  const std::size_t excess = SpreadWith("", "").excess;
  if (excess == 0 || !IsCalm(now))
    return false;
  // One whose link comes and goes would make the voters come and go.
  if (now < progress_.at(learner).added + options_.replace_after)
    return false;
  const VoterSpread spread = BestSpreadWith(learner);
  if (spread.excess >= excess)
    return false;
  return std::none_of(
      configuration_.learners.begin(), configuration_.learners.end(),
      [&](const std::string& other) {
        return other != learner && BestSpreadWith(other) < spread &&
               PreviousIncarnation(other).empty() && HasCaughtUp(other, now);
      });
}

// Returns true if all voters have answered lately, and none was added or
// removed for a while.
bool Replica::IsCalm(Time now) const {
  return now >= voters_changed_ + options_.replace_after &&
         std::all_of(
             configuration_.voters.begin(), configuration_.voters.end(),
             [&](const std::string& voter) {
               return LocationOf(voter).IsKnown() &&
                      (voter == options_.id ||
                       !IsSilent(voter, options_.election_timeout, now));
             });
}

// Returns the spread of the voters with `learner` and without `dropped`, both
// of which may be empty.
VoterSpread Replica::SpreadWith(const std::string& learner,
                                const std::string& dropped) const {
  std::vector<protocol::Location> locations;
  for (const std::string& voter : configuration_.voters) {
    if (voter != dropped)
      locations.push_back(LocationOf(voter));
  }
  if (!learner.empty())
    locations.push_back(LocationOf(learner));
  return MeasureSpread(locations);
}

// Returns the spread of the voters once `learner` has replaced one of them.
VoterSpread Replica::BestSpreadWith(const std::string& learner) const {
  VoterSpread best = SpreadWith("", "");
  for (const std::string& voter : configuration_.voters) {
    if (voter != options_.id)
      best = std::min(best, SpreadWith(learner, voter));
  }
  return best;
}

// Returns the other voter without which the voters stand furthest apart. Of
// several, returns the one whose last reply is oldest.
std::string Replica::VoterToSpare() const {
  std::string spare;
  std::optional<VoterSpread> least;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id)
      continue;
    const VoterSpread spread = SpreadWith("", voter);
    const bool is_better = !least || spread < *least ||
                           (spread == *least && lease_->LastContact(voter) <
                                                    lease_->LastContact(spare));
    if (!is_better)
      continue;
    least = spread;
    spare = voter;
  }
  return spare;
}

protocol::Location Replica::LocationOf(const std::string& id) const {
  if (id == options_.id)
    return options_.location;
  const auto found = progress_.find(id);
  return found == progress_.end() ? protocol::Location{}
                                  : found->second.location;
}

// Returns the other voter whose last reply is oldest; empty if there is none.
std::string Replica::LongestSilentVoter() const {
  std::string longest_silent;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id)
      continue;
    if (longest_silent.empty() ||
        lease_->LastContact(voter) < lease_->LastContact(longest_silent))
      longest_silent = voter;
  }
  return longest_silent;
}

bool Replica::IsSilent(const std::string& id,
                       Duration duration,
                       Time now) const {
  return !id.empty() && now > lease_->LastContact(id) + duration;
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
  const std::string longest_silent = LongestSilentVoter();
  const bool is_lost = IsSilent(longest_silent, options_.replace_after, now);
  // Waits while it may still be a busy one that falls silent.
  if (IsSilent(longest_silent, options_.election_timeout, now) && !is_lost)
    return;
  Configuration next = configuration_;
  std::erase(next.voters, is_lost ? longest_silent : VoterToSpare());
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
