#include "core/control/ledger.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace jacinth::control {
namespace {

using protocol::ClaimRecord;
using protocol::ClaimRequest;
using protocol::ClaimState;
using protocol::ClaimVerdict;
using protocol::FinishRequest;

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionAt = 14;
constexpr int kHexBase = 16;
/// Largest accepted lead of a caller's clock over the time in the log.
constexpr WallMillis kMaxClockLeadMs = 60'000;

ClaimRecord NewClaim(const ClaimRequest& request, WallMillis log_time) {
  ClaimRecord record;
  record.key = request.key;
  record.attempt = request.attempt;
  record.fingerprint = request.fingerprint;
  record.claimed_ms = log_time;
  record.deadline_ms = log_time + request.budget_ms;
  return record;
}

}  // namespace

ClaimResult Ledger::Claim(const ClaimRequest& request, WallMillis log_time) {
  const auto found = rows_.find(request.key);
  if (found == rows_.end()) {
    if (IsExpired(request, log_time))
      return {ClaimVerdict::kKeyExpired, {}};
    Insert(NewClaim(request, log_time));
    return {ClaimVerdict::kGranted, {}};
  }
  const ClaimRecord& row = found->second;
  const bool same_attempt = row.attempt == request.attempt;
  if (row.state == ClaimState::kReleased) {
    if (same_attempt)
      return {ClaimVerdict::kAttemptClosed, {}};
    // A new record, so that the whole retention period applies to it.
    Erase(request.key);
    Insert(NewClaim(request, log_time));
    return {ClaimVerdict::kGranted, {}};
  }
  if (row.fingerprint != request.fingerprint)
    return {ClaimVerdict::kKeyReused, {}};
  switch (row.state) {
    case ClaimState::kRan:
      return {ClaimVerdict::kRan, row.answer};
    case ClaimState::kUnknown:
      return {ClaimVerdict::kUnknown, {}};
    default:
      break;
  }
  // An attempt repeats its claim when the first answer was lost.
  if (same_attempt)
    return {ClaimVerdict::kGranted, {}};
  if (log_time > row.deadline_ms)
    return {ClaimVerdict::kUnknown, {}};
  return {ClaimVerdict::kInProgress, {}};
}

void Ledger::Finish(const FinishRequest& request, WallMillis log_time) {
  const auto found = rows_.find(request.key);
  if (found == rows_.end()) {
    if (request.outcome != Outcome::kNotRun)
      return;
    // The claim may still be in transit; it must not be granted when it
    // arrives.
    ClaimRecord record;
    record.key = request.key;
    record.attempt = request.attempt;
    record.state = ClaimState::kReleased;
    record.claimed_ms = log_time;
    record.deadline_ms = log_time;
    Insert(std::move(record));
    return;
  }
  ClaimRecord& row = found->second;
  if (row.attempt != request.attempt || row.state != ClaimState::kRunning)
    return;
  switch (request.outcome) {
    case Outcome::kRan:
      row.state = ClaimState::kRan;
      row.answer = request.answer;
      return;
    case Outcome::kNotRun:
      row.state = ClaimState::kReleased;
      return;
    case Outcome::kUnknown:
      row.state = ClaimState::kUnknown;
      return;
  }
}

void Ledger::Prune(WallMillis log_time, Duration retention) {
  const WallMillis oldest = log_time - ToMillis(retention);
  forgotten_before_ = std::max(forgotten_before_, oldest);
  while (!by_deadline_.empty() && by_deadline_.begin()->first < oldest)
    Erase(protocol::ClaimKey(by_deadline_.begin()->second));
}

std::vector<ClaimRecord> Ledger::Rows() const {
  std::vector<ClaimRecord> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, row] : rows_)
    rows.push_back(row);
  return rows;
}

void Ledger::Restore(std::vector<ClaimRecord> rows,
                     WallMillis forgotten_before) {
  rows_.clear();
  by_deadline_.clear();
  forgotten_before_ = forgotten_before;
  for (ClaimRecord& row : rows)
    Insert(std::move(row));
}

void Ledger::Insert(ClaimRecord record) {
  by_deadline_.emplace(record.deadline_ms, record.key);
  const protocol::ClaimKey key = record.key;
  rows_.insert_or_assign(key, std::move(record));
}

void Ledger::Erase(const protocol::ClaimKey& key) {
  const auto found = rows_.find(key);
  by_deadline_.erase({found->second.deadline_ms, key});
  rows_.erase(found);
}

// True for a key with an issue time if its record, had there been one, may have
// been removed already, or if the issue time is too far in the future.
bool Ledger::IsExpired(const ClaimRequest& request, WallMillis log_time) const {
  const auto issued = IssueTimeOfKey(request.key.key);
  if (!issued)
    return false;
  return *issued < forgotten_before_ + kMaxClockLeadMs ||
         *issued > log_time + kMaxClockLeadMs;
}

std::optional<WallMillis> IssueTimeOfKey(const std::string& key) {
  if (key.size() != kUuidLength || key[kUuidVersionAt] != '7' ||
      key[8] != '-' || key[13] != '-')
    return std::nullopt;
  const std::string digits = key.substr(0, 8) + key.substr(9, 4);
  WallMillis millis = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] =
      std::from_chars(digits.data(), end, millis, kHexBase);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return millis;
}

}  // namespace jacinth::control
