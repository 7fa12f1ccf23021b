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

void LeaderLease::OnReply(const std::string& follower, std::uint64_t round) {
  if (rounds_.empty() || round < rounds_.front().number || round > last_round_)
    return;
  const Time sent = rounds_[round - rounds_.front().number].sent;
  Time& contact = contacts_.try_emplace(follower, Time::min()).first->second;
  contact = std::max(contact, sent);
}

Time LeaderLease::ContactOf(const std::string& follower) const {
  const auto found = contacts_.find(follower);
  return found == contacts_.end() ? start_ : found->second;
}

Time LeaderLease::QuorumContact(const protocol::Configuration& configuration,
                                const std::string& self,
                                Time now) const {
  std::vector<Time> contacts;
  for (const std::string& voter : configuration.voters) {
    if (voter == self) {
      contacts.push_back(now);
      continue;
    }
    const auto found = contacts_.find(voter);
    contacts.push_back(found == contacts_.end() ? Time::min() : found->second);
  }
  if (contacts.empty())
    return Time::min();
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts[configuration.QuorumSize() - 1];
}

}  // namespace jacinth::consensus
