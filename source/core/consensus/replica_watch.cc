#include <algorithm>
#include <vector>

#include "core/consensus/replica.h"

namespace jacinth::consensus {
namespace {

/// Number of usual waits for a confirmation after which a disk may be taken to
/// stand still.
constexpr int kMaxWaits = 4;

}  // namespace

// Returns the other voter that is most overdue; empty if there is none.
std::string Replica::WeakestVoter(Time now) const {
  std::string weakest;
  for (const std::string& voter : configuration_.voters) {
    if (voter == options_.id)
      continue;
    if (weakest.empty() || Overdue(voter, now) > Overdue(weakest, now))
      weakest = voter;
  }
  return weakest;
}

// Returns for how long a replica has been lost, or the negative time until it
// will be if it neither answers nor confirms anything until then.
Duration Replica::Overdue(const std::string& id, Time now) const {
  if (id == options_.id)
    return now - own_confirmations_.last_progress() - max_wait_;
  const Duration silent =
      now - lease_->LastContact(id) - options_.replace_after;
  const auto found = progress_.find(id);
  if (found == progress_.end())
    return silent;
  const Time progress = found->second.confirmations.last_progress();
  return std::max(silent, now - progress - max_wait_);
}

bool Replica::IsLost(const std::string& id, Time now) const {
  return options_.replace_after != Duration{0} && !id.empty() &&
         Overdue(id, now) > Duration{0};
}

bool Replica::IsSilent(const std::string& id,
                       Duration duration,
                       Time now) const {
  return !id.empty() && now > lease_->LastContact(id) + duration;
}

// Hands over if this replica's disk stands still while the others' disks work:
// it would lose what it holds only in memory, and can't take part in the next
// election.
void Replica::WatchConfirmations(Time now) {
  own_confirmations_.Update(stable_index_, log_.last_index(), now);
  commits_.Update(commit_index_, log_.last_index(), now);
  for (auto& [id, progress] : progress_)
    progress.confirmations.Update(progress.match, log_.last_index(), now);
  max_wait_ = std::max(options_.replace_after, kMaxWaits * MedianWait());
  // An election needs the disks of a quorum.
  if (transfer_started_ || !IsLost(options_.id, now) ||
      MedianWait() > options_.election_timeout)
    return;
  const auto sound =
      std::count_if(configuration_.voters.begin(), configuration_.voters.end(),
                    [&](const std::string& voter) {
                      const auto found = progress_.find(voter);
                      return found != progress_.end() && !IsLost(voter, now) &&
                             found->second.match > stable_index_;
                    });
  if (static_cast<std::size_t>(sound) >= configuration_.QuorumSize())
    TransferLeadership(now);
}

// Returns the time that confirmations take the voters: beside slow disks, a
// slow one is no reason to replace a voter.
Duration Replica::MedianWait() const {
  std::vector<Duration> waits;
  for (const std::string& voter : configuration_.voters) {
    const auto found = progress_.find(voter);
    if (voter == options_.id)
      waits.push_back(own_confirmations_.longest_wait());
    else if (found != progress_.end())
      waits.push_back(found->second.confirmations.longest_wait());
  }
  if (waits.empty())
    return Duration{0};
  const auto median =
      waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), median, waits.end());
  return *median;
}

}  // namespace jacinth::consensus
