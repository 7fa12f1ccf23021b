#include "core/consensus/leader_lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace jacinth::consensus {
namespace {

/// Number of recent rounds whose replies extend the lease.
constexpr std::size_t kMaxRounds = 4'096;

}  // namespace

std::uint64_t LeaderLease::StartRound(Time now) {
  ++last_round_;
  rounds_.push_back({last_round_, now});
  if (rounds_.size() > kMaxRounds)
    rounds_.pop_front();
  return last_round_;
}

void LeaderLease::RecordReply(const std::string& follower,
                              std::uint64_t round) {
  if (rounds_.empty() || round < rounds_.front().number || round > last_round_)
    return;
  const Time sent = rounds_[round - rounds_.front().number].sent;
  Time& contact =
      last_contacts_.try_emplace(follower, Time::min()).first->second;
  contact = std::max(contact, sent);
}

Time LeaderLease::LastContact(const std::string& follower) const {
  const auto found = last_contacts_.find(follower);
  return found == last_contacts_.end() ? start_ : found->second;
}

Time LeaderLease::QuorumContact(const protocol::Configuration& configuration,
                                const std::string& self,
                                Time now) const {
  std::vector<Time> contact_times;
  for (const std::string& voter : configuration.voters) {
    if (voter == self) {
      contact_times.push_back(now);
      continue;
    }
    const auto found = last_contacts_.find(voter);
    contact_times.push_back(found == last_contacts_.end() ? Time::min()
                                                          : found->second);
  }
  if (contact_times.empty())
    return Time::min();
  std::sort(contact_times.begin(), contact_times.end(), std::greater<>());
  return contact_times[configuration.QuorumSize() - 1];
}

}  // namespace jacinth::consensus
