#include "core/forwarding/link_monitor.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "core/common/hash.h"
#include "core/common/name_table.h"

namespace jacinth::forwarding {
namespace {

constexpr std::array kNames = {
    NamedValue<LinkState>{LinkState::kConnected, "connected"},
    NamedValue<LinkState>{LinkState::kSuspected, "suspected"},
    NamedValue<LinkState>{LinkState::kLost, "lost"},
};

/// Number of endpoints that must have failed to suspect the links.
constexpr std::size_t kMinFailedEndpoints = 3;
/// Time for which a failure counts once an endpoint has answered after it:
/// longer than a connect timeout. Without an answer it counts until there is
/// one, as the requests of a quiet entry may be far apart.
constexpr Duration kFailureLifetime = 2s;
/// Number of endpoints probed at a time.
constexpr std::size_t kProbeCount = 4;
/// Interval between probes while the links are suspected or lost.
constexpr Duration kProbeInterval = 500ms;
/// Time without an answer after which the links are suspected, and after which
/// those that don't respond are lost; longer than most requests take.
constexpr Duration kSilenceTime = 1s;
/// Time between the end of a suspicion and the next one, as probes cost the
/// endpoints slots.
constexpr Duration kTrustTime = 1s;

}  // namespace

std::string_view LinkStateName(LinkState state) {
  return EnumName(kNames, state);
}

void LinkMonitor::OnFailure(const std::string& endpoint, Time now) {
  failed_[endpoint] = now;
  if (state_ != LinkState::kConnected)
    return;
  std::erase_if(failed_, [&](const auto& item) {
    return item.second + kFailureLifetime < now && last_answer_ > item.second;
  });
  if (IsSuspicious() && now >= trusted_until_)
    state_ = LinkState::kSuspected;
}

void LinkMonitor::OnConnected(Time opened, Time now) {
  if (state_ == LinkState::kLost)
    return;
  std::erase_if(failed_,
                [&](const auto& item) { return item.second <= opened; });
  if (state_ == LinkState::kSuspected && !IsSuspicious())
    SetConnected(now);
}

void LinkMonitor::OnAnswer(Time now) {
  last_answer_ = now;
  unanswered_since_.reset();
}

void LinkMonitor::CheckSilence(Time now) {
  if (state_ != LinkState::kConnected || now < trusted_until_)
    return;
  if (unanswered_since_ && now >= *unanswered_since_ + kSilenceTime)
    state_ = LinkState::kSuspected;
}

std::size_t LinkMonitor::MinSuspiciousEndpoints() const {
  return std::clamp<std::size_t>(endpoint_count_, 1, kMinFailedEndpoints);
}

bool LinkMonitor::IsSuspicious() const {
  return failed_.size() >= MinSuspiciousEndpoints();
}

void LinkMonitor::SetConnected(Time now) {
  failed_.clear();
  unanswered_since_.reset();
  state_ = LinkState::kConnected;
  trusted_until_ = now + kTrustTime;
}

bool LinkMonitor::WantsProbes(Time now) const {
  return state_ != LinkState::kConnected && pending_probes_ == 0 &&
         now >= next_probes_;
}

std::vector<LinkCandidate> LinkMonitor::SelectProbes(
    std::vector<LinkCandidate> candidates,
    std::uint64_t random_value,
    Time now) {
  // Endpoints that have not failed come first, then the order is random.
  const auto order = [&](const LinkCandidate& candidate) {
    return std::pair(failed_.count(candidate.endpoint) != 0,
                     Hash64(candidate.endpoint, random_value));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const LinkCandidate& left, const LinkCandidate& right) {
              return order(left) < order(right);
            });
  std::set<std::string> domains;
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const LinkCandidate& candidate) {
        return domains.insert(candidate.failure_domain).second;
      });
  candidates.resize(std::min(candidates.size(), kProbeCount));
  pending_probes_ = static_cast<int>(candidates.size());
  next_probes_ = now + kProbeInterval;
  all_refused_ = true;
  any_silent_ = false;
  return candidates;
}

void LinkMonitor::OnProbeEnd(LinkProbeEnd end, Time now) {
  pending_probes_ = std::max(0, pending_probes_ - 1);
  // Links that opened no connections when they were lost are restored when they
  // do, even if the endpoint is too busy to respond.
  const bool restored = end == LinkProbeEnd::kSilent &&
                        state_ == LinkState::kLost && !any_silent_when_lost_;
  if (end == LinkProbeEnd::kConnected || restored) {
    if (state_ != LinkState::kConnected)
      SetConnected(now);
    return;
  }
  all_refused_ &= end == LinkProbeEnd::kRefused;
  any_silent_ |= end == LinkProbeEnd::kSilent;
  const bool silent = now >= last_answer_ + kSilenceTime;
  const bool lost = state_ == LinkState::kSuspected && pending_probes_ == 0 &&
                    (all_refused_ || silent);
  if (!lost)
    return;
  state_ = LinkState::kLost;
  all_refused_when_lost_ = all_refused_;
  any_silent_when_lost_ = any_silent_;
}

}  // namespace jacinth::forwarding
