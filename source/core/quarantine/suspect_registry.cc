#include "core/quarantine/suspect_registry.h"

#include "core/quarantine/fingerprint.h"

namespace jacinth::quarantine {
namespace {

/// Bound on the memory of a leader.
constexpr std::size_t kMaxSuspects = 4'096;
/// Bound on the size of one command.
constexpr std::size_t kMaxPerCommand = 128;
/// Time for which the log holds a suspected and a blocked request.
constexpr Duration kSuspectedTime = 60s;
constexpr Duration kBlockedTime = 600s;
constexpr Duration kExpiryInterval = 1s;

}  // namespace

void SuspectRegistry::Reset(
    const std::vector<protocol::SuspectRequest>& recorded,
    ClockReading clock) {
  suspects_.clear();
  changed_.clear();
  withdrawn_.clear();
  for (const protocol::SuspectRequest& request : recorded) {
    const std::int64_t left_ms = request.expires_ms - clock.wall_ms;
    if (left_ms <= 0)
      continue;
    Suspect& suspect = suspects_[request.fingerprint];
    suspect.recorded = request.endpoints.size();
    suspect.history.SetCounted(request.endpoints, clock.now,
                               clock.now + std::chrono::milliseconds(left_ms));
  }
}

void SuspectRegistry::OnReport(const protocol::CrashReport& report, Time now) {
  const auto found = suspects_.find(report.fingerprint);
  if (found == suspects_.end() && suspects_.size() >= kMaxSuspects) {
    if (!std::exchange(logged_full_, true))
      LogVerdict("crash_reports_dropped", report.fingerprint, 1);
    return;
  }
  CrashHistory& history = suspects_[report.fingerprint].history;
  const std::size_t before = history.Sequence().size();
  const bool added = history.Add(
      report.endpoint, now - std::chrono::milliseconds(report.sent_age_ms),
      now - std::chrono::milliseconds(report.ended_age_ms));
  if (added)
    changed_.insert(report.fingerprint);
  const std::size_t crashes = history.Sequence().size();
  if (added && VerdictFor(crashes) != VerdictFor(before)) {
    LogVerdict(VerdictFor(crashes) == Verdict::kBlocked
                   ? "fleet_request_blocked"
                   : "fleet_request_suspected",
               report.fingerprint, crashes);
  }
}

void SuspectRegistry::OnAcquittal(std::uint64_t fingerprint) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end())
    return;
  if (found->second.recorded != 0) {
    withdrawn_.push_back(fingerprint);
    LogVerdict("fleet_request_acquitted", fingerprint,
               found->second.history.Sequence().size());
  }
  suspects_.erase(found);
}

void SuspectRegistry::Expire(Time now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryInterval;
  logged_full_ = false;
  for (auto& [fingerprint, suspect] : suspects_)
    suspect.history.Expire(now);
  std::erase_if(suspects_,
                [](const auto& item) { return item.second.history.empty(); });
}

std::vector<protocol::SuspectRequest> SuspectRegistry::TakeUnrecorded(
    ClockReading clock) {
  std::vector<protocol::SuspectRequest> requests;
  for (const std::uint64_t fingerprint : std::exchange(withdrawn_, {}))
    requests.push_back({fingerprint, {}, 0});
  while (!changed_.empty() && requests.size() < kMaxPerCommand) {
    const auto found =
        suspects_.find(changed_.extract(changed_.begin()).value());
    if (found == suspects_.end())
      continue;
    auto& [fingerprint, suspect] = *found;
    std::vector<std::uint64_t> endpoints = suspect.history.Sequence();
    const bool is_new = endpoints.size() >= kCrashesToSuspect &&
                        endpoints.size() > suspect.recorded &&
                        suspect.recorded < kCrashesToBlock;
    if (!is_new)
      continue;
    const Duration held = VerdictFor(endpoints.size()) == Verdict::kBlocked
                              ? kBlockedTime
                              : kSuspectedTime;
    suspect.recorded = endpoints.size();
    suspect.history.CountSequence(clock.now + held);
    requests.push_back(
        {fingerprint, std::move(endpoints), clock.wall_ms + ToMillis(held)});
  }
  return requests;
}

void SuspectRegistry::LogVerdict(std::string_view event,
                                 std::uint64_t fingerprint,
                                 std::size_t crashes) {
  log::Record& record = log_records_.emplace_back();
  record.category = log::Category::kControl;
  record.event = event;
  record.With("fingerprint", FormatFingerprint(fingerprint))
      .With("crashes", crashes);
}

}  // namespace jacinth::quarantine
