#include "core/forwarding/endpoint_rate_limit.h"

#include <algorithm>

namespace jacinth::forwarding {
namespace {

/// Interval between reports of an unchanged limit. Shorter than the time after
/// which a new leader divides the limits that were reported to it.
constexpr Duration kReportInterval = 1s;
/// Interval between reports while this entry has requests but no share.
constexpr Duration kDemandReportInterval = 300ms;
/// The same while this entry neither has requests for the endpoint nor has got
/// an answer lately, and the time and the demand from which that counts.
constexpr Duration kQuietReportInterval = 10s;
constexpr Duration kRecentAnswer = 2s;
constexpr double kQuietDemand = 0.1;
/// Without shares from the leader: number of entries that a limit is divided
/// among at least, as the member list may be incomplete.
constexpr std::size_t kMinAssumedEntries = 8;
/// Without shares from the leader: entries beyond one per request and second
/// that send to an endpoint.
constexpr double kExtraSenders = 2;
/// Without shares from the leader: requests per second of an entry that isn't
/// selected as a sender, as only an answer can end the limit.
constexpr double kUnselectedRate = 0.02;

double RateWithoutShare(double limit,
                        const SenderSelection& senders,
                        const std::string& endpoint) {
  const std::size_t entries =
      std::max(senders.entry_count(), kMinAssumedEntries);
  const double max_senders =
      std::min(limit + kExtraSenders, static_cast<double>(entries));
  if (!senders.IsSelected(endpoint, static_cast<std::size_t>(max_senders)))
    return kUnselectedRate;
  return std::max(limit / max_senders, kUnselectedRate);
}

}  // namespace

bool EndpointRateLimit::OnNotice(const RateLimitNotice& notice,
                                 const SenderSelection& senders,
                                 const std::string& endpoint,
                                 Time now) {
  answered_at_ = now;
  was_told_ |= notice.per_second.has_value();
  if (named_ == notice.per_second) {
    // The answer is newer than any that the leader has judged.
    if (named_ && !share_)
      reported_in_.reset();
    return false;
  }
  named_ = notice.per_second;
  reported_in_.reset();
  UpdateRate(senders, endpoint, now);
  return true;
}

void EndpointRateLimit::SetShare(
    const std::optional<protocol::RateShare>& share,
    const SenderSelection& senders,
    const std::string& endpoint,
    Time now) {
  share_ = share;
  UpdateRate(senders, endpoint, now);
}

bool EndpointRateLimit::OnReportsRejected(std::uint64_t sequence, Time now) {
  if (!named_ || share_ || !reported_in_ || *reported_in_ > sequence)
    return false;
  named_.reset();
  gate_.SetRate(std::nullopt, now);
  return true;
}

std::optional<protocol::RateLimitReport> EndpointRateLimit::TakeReport(
    std::uint64_t sequence,
    Time now) {
  if (!named_ && !share_)
    return std::nullopt;
  const bool lacks_share =
      share_ && share_->share_per_s <= 0 && has_new_demand_;
  const bool is_quiet = demand_.Rate(now) < kQuietDemand &&
                        (!answered_at_ || now > *answered_at_ + kRecentAnswer);
  const Duration interval = lacks_share ? kDemandReportInterval
                            : is_quiet  ? kQuietReportInterval
                                        : kReportInterval;
  if (reported_in_ && now < reported_at_ + interval)
    return std::nullopt;
  reported_in_ = sequence;
  reported_at_ = now;
  protocol::RateLimitReport report;
  report.limit_per_s = named_;
  report.was_told = was_told_;
  if (answered_at_)
    report.answer_age_ms = ToMillis(now - *answered_at_);
  report.demand_per_s = demand_.Rate(now);
  has_new_demand_ = false;
  if (share_)
    report.shared_limit_per_s = share_->limit_per_s;
  return report;
}

void EndpointRateLimit::UpdateRate(const SenderSelection& senders,
                                   const std::string& endpoint,
                                   Time now) {
  if (!named_ && !share_) {
    gate_.SetRate(std::nullopt, now);
    return;
  }
  if (!share_) {
    gate_.SetRate(RateWithoutShare(*named_, senders, endpoint), now);
    return;
  }
  // A lower limit applies before the leader has divided it anew. A higher one
  // waits for the leader.
  const bool lowered = named_ && *named_ < share_->limit_per_s;
  const double part = lowered ? *named_ / share_->limit_per_s : 1;
  gate_.SetRate(share_->share_per_s * part, now);
}

}  // namespace jacinth::forwarding
