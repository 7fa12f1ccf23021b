#include <algorithm>
#include <optional>
#include <vector>

#include "core/consensus/replica.h"

namespace jacinth::consensus {

// Returns true if no other learner that has caught up stands further from the
// voters that stay.
bool Replica::IsBestSuccessor(const std::string& learner, Time now) const {
  const std::string weakest = WeakestVoter(now);
  const std::string lost = IsLost(weakest, now) ? weakest : "";
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
// several, returns the most overdue one.
std::string Replica::VoterToSpare(Time now) const {
  std::string spare;
  std::optional<VoterSpread> least;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id)
      continue;
    const VoterSpread spread = SpreadWith("", voter);
    const bool is_better =
        !least || spread < *least ||
        (spread == *least && Overdue(voter, now) > Overdue(spare, now));
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

}  // namespace jacinth::consensus
