#include "core/quarantine/request_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/quarantine/fingerprint.h"

namespace jacinth::quarantine {
namespace {

/// Bounds on the memory of an entry.
constexpr std::size_t kMaxRecords = 1'024;
constexpr std::size_t kMaxReports = 1'024;
constexpr std::size_t kMaxAcquittals = 256;
/// Bounds on the size of a heartbeat.
constexpr std::size_t kMaxReportsPerHeartbeat = 32;
constexpr std::size_t kMaxAcquittalsPerHeartbeat = 32;
/// Time after which a report is repeated if no leader has received it.
constexpr Duration kRepeatAfter = 1s;
constexpr Duration kExpiryInterval = 1s;
/// Versions of lists from the leader hold its term in the upper 32 bits.
constexpr unsigned kTermShift = 32;

}  // namespace

Verdict RequestQuarantine::Judge(std::uint64_t fingerprint) const {
  return VerdictFor(CountCrashes(fingerprint));
}

std::size_t RequestQuarantine::CountCrashes(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? 0 : found->second.Sequence().size();
}

void RequestQuarantine::OnLost(const LostAttempt& attempt, Time now) {
  MakeRoom();
  CrashHistory& history = records_[attempt.fingerprint];
  const std::size_t before = history.Sequence().size();
  const std::uint64_t endpoint =
      EndpointHash(attempt.service, attempt.endpoint, attempt.started_ms);
  if (!history.Add(endpoint, attempt.sent, now))
    return;
  if (reports_.size() >= kMaxReports)
    reports_.pop_front();
  reports_.push_back({attempt.fingerprint, endpoint, attempt.sent, now, {}});
  has_news_ = true;
  const std::size_t crashes = history.Sequence().size();
  if (VerdictFor(crashes) == VerdictFor(before))
    return;
  LogVerdict(VerdictFor(crashes) == Verdict::kBlocked ? "request_blocked"
                                                      : "request_suspected",
             attempt.fingerprint, crashes);
  log_records_.back()
      .With("endpoint", attempt.endpoint)
      .With("started_ms", attempt.started_ms);
}

void RequestQuarantine::OnAnswer(std::uint64_t fingerprint, Time now) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end())
    return;
  const std::size_t crashes = found->second.Sequence().size();
  const bool suspected = VerdictFor(crashes) != Verdict::kClear;
  if (suspected)
    LogVerdict("request_acquitted", fingerprint, crashes);
  records_.erase(found);
  std::erase_if(reports_, [&](const Report& report) {
    return report.fingerprint == fingerprint;
  });
  // Those suspected make room for themselves; the others expire at the leader.
  if (suspected && acquittals_.size() >= kMaxAcquittals)
    Forget(acquittals_.begin(), now);
  if (acquittals_.size() < kMaxAcquittals) {
    Acquittal& acquittal = acquittals_[fingerprint];
    acquittal.since = now;
    acquittal.delivery = {};
  }
  has_news_ |= suspected;
}

void RequestQuarantine::ApplyUpdate(const protocol::SuspectUpdate& update,
                                    std::uint64_t sequence,
                                    Time now) {
  if (update.version == 0 || update.version < version_)
    return;
  const bool new_term = update.version >> kTermShift != version_ >> kTermShift;
  for (Report& report : reports_) {
    report.delivery.received &= !new_term;
    OnAnswered(report.delivery, sequence);
  }
  for (auto& [fingerprint, acquittal] : acquittals_)
    OnAnswered(acquittal.delivery, sequence);
  std::erase_if(acquittals_,
                [](const auto& item) { return item.second.delivery.received; });
  if (update.unchanged || update.version == version_)
    return;
  // Changes apply to what this entry holds, or begin earlier.
  const bool is_whole = update.base == 0;
  if (!is_whole && (new_term || update.base > version_))
    return;
  version_ = update.version;
  std::set<std::uint64_t> listed;
  for (const protocol::SuspectNotice& notice : update.requests) {
    listed.insert(notice.fingerprint);
    CountedCrashes crashes{notice.endpoints,
                           now + std::chrono::milliseconds(notice.left_ms)};
    // This entry's acquittal has not reached the leader yet.
    const auto acquittal = acquittals_.find(notice.fingerprint);
    if (acquittal != acquittals_.end())
      acquittal->second.withheld = std::move(crashes);
    else
      Count(notice.fingerprint, std::move(crashes), now);
  }
  const std::set<std::uint64_t> removed(update.removed.begin(),
                                        update.removed.end());
  // A new leader may not know all suspects; see docs/design/quarantine.md.
  const bool is_complete = is_whole && !new_term;
  const auto is_withdrawn = [&](std::uint64_t fingerprint) {
    return removed.count(fingerprint) != 0 ||
           (is_complete && listed.count(fingerprint) == 0);
  };
  std::erase_if(records_, [&](const auto& item) {
    return item.second.counted_until() != Time::min() &&
           is_withdrawn(item.first);
  });
  for (auto& [fingerprint, acquittal] : acquittals_) {
    if (is_withdrawn(fingerprint))
      acquittal.withheld = {};
  }
}

// Counts crashes that the leader's list has.
void RequestQuarantine::Count(std::uint64_t fingerprint,
                              CountedCrashes crashes,
                              Time now) {
  MakeRoom();
  CrashHistory& history = records_[fingerprint];
  const std::size_t before = history.Sequence().size();
  history.SetCounted(std::move(crashes.endpoints), now, crashes.until);
  const std::size_t after = history.Sequence().size();
  if (VerdictFor(after) > VerdictFor(before))
    LogVerdict("suspect_received", fingerprint, after);
}

// Removes an acquittal that the leader hasn't got, and returns the next one.
RequestQuarantine::Acquittals::iterator RequestQuarantine::Forget(
    Acquittals::iterator acquittal,
    Time now) {
  CountedCrashes crashes = std::move(acquittal->second.withheld);
  if (now < crashes.until)
    Count(acquittal->first, std::move(crashes), now);
  return acquittals_.erase(acquittal);
}

std::vector<protocol::CrashReport> RequestQuarantine::TakeReports(
    std::uint64_t sequence,
    Time now) {
  has_news_ = false;
  std::vector<protocol::CrashReport> reports;
  for (Report& report : reports_) {
    if (reports.size() >= kMaxReportsPerHeartbeat)
      break;
    if (!TakeTurn(report.delivery, sequence, now))
      continue;
    reports.push_back({report.fingerprint, report.endpoint,
                       ToMillis(now - report.sent),
                       ToMillis(now - report.ended)});
  }
  return reports;
}

std::vector<std::uint64_t> RequestQuarantine::TakeAcquittals(
    std::uint64_t sequence,
    Time now) {
  std::vector<std::uint64_t> fingerprints;
  for (auto& [fingerprint, acquittal] : acquittals_) {
    if (fingerprints.size() >= kMaxAcquittalsPerHeartbeat)
      break;
    if (TakeTurn(acquittal.delivery, sequence, now))
      fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

// Applies that a leader has answered the heartbeat `sequence`, if it isn't 0.
void RequestQuarantine::OnAnswered(Delivery& delivery, std::uint64_t sequence) {
  if (delivery.sequence == 0 || sequence < delivery.sequence)
    return;
  // What went with an earlier heartbeat is lost: it goes with the next one.
  if (sequence > delivery.sequence && !delivery.received)
    delivery.sequence = 0;
  else
    delivery.received = true;
}

// Returns true if the message is due, and marks it as sent.
bool RequestQuarantine::TakeTurn(Delivery& delivery,
                                 std::uint64_t sequence,
                                 Time now) {
  const bool waits =
      delivery.sequence != 0 && now < delivery.sent + kRepeatAfter;
  if (delivery.received || waits)
    return false;
  delivery.sequence = sequence;
  delivery.sent = now;
  return true;
}

void RequestQuarantine::Expire(Time now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryInterval;
  for (auto& [fingerprint, history] : records_) {
    const std::size_t before = history.Sequence().size();
    history.Expire(now);
    const std::size_t after = history.Sequence().size();
    if (VerdictFor(after) < VerdictFor(before))
      LogVerdict("suspicion_expired", fingerprint, before);
  }
  std::erase_if(records_, [](const auto& item) { return item.second.empty(); });
  std::erase_if(reports_, [&](const Report& report) {
    return now >= report.ended + CrashHistory::kMaxAge;
  });
  for (auto it = acquittals_.begin(); it != acquittals_.end();) {
    if (now >= it->second.since + CrashHistory::kMaxAge)
      it = Forget(it, now);
    else
      ++it;
  }
}

// Removes a record with the fewest crashes if the limit is reached.
void RequestQuarantine::MakeRoom() {
  if (records_.size() < kMaxRecords)
    return;
  records_.erase(std::min_element(records_.begin(), records_.end(),
                                  [](const auto& left, const auto& right) {
                                    return left.second.Sequence().size() <
                                           right.second.Sequence().size();
                                  }));
}

void RequestQuarantine::LogVerdict(std::string_view event,
                                   std::uint64_t fingerprint,
                                   std::size_t crashes) {
  log::Record& record = log_records_.emplace_back();
  record.category = log::Category::kForwarding;
  record.event = event;
  record.With("fingerprint", FormatFingerprint(fingerprint))
      .With("crashes", crashes);
}

}  // namespace jacinth::quarantine
