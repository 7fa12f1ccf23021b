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
constexpr std::size_t kUuidVersionIndex = 14;
constexpr int kHexBase = 16;
/// Maximum time by which a caller's clock can be ahead of the time in the log.
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
  const auto found = records_.find(request.key);
  if (found == records_.end()) {
    if (IsExpired(request, log_time))
      return {ClaimVerdict::kKeyExpired, {}};
    Insert(NewClaim(request, log_time));
    return {ClaimVerdict::kGranted, {}};
  }
  const ClaimRecord& stored = found->second;
  const bool same_attempt = stored.attempt == request.attempt;
  if (stored.state == ClaimState::kReleased) {
    if (same_attempt)
      return {ClaimVerdict::kAttemptClosed, {}};
    // Creates a new record, so that the whole retention period applies to it.
    Erase(request.key);
    Insert(NewClaim(request, log_time));
    return {ClaimVerdict::kGranted, {}};
  }
  if (stored.fingerprint != request.fingerprint)
    return {ClaimVerdict::kKeyReused, {}};
  switch (stored.state) {
    case ClaimState::kRan:
      return {ClaimVerdict::kRan, stored.answer};
    case ClaimState::kUnknown:
      return {ClaimVerdict::kUnknown, {}};
    default:
      break;
  }
  // An attempt repeats its claim if the first reply was lost.
  if (same_attempt)
    return {ClaimVerdict::kGranted, {}};
  if (log_time > stored.deadline_ms)
    return {ClaimVerdict::kUnknown, {}};
  return {ClaimVerdict::kInProgress, {}};
}

void Ledger::Finish(const FinishRequest& request, WallMillis log_time) {
  const auto found = records_.find(request.key);
  if (found == records_.end()) {
    if (request.outcome != Outcome::kNotRun)
      return;
    // The claim may still be in transit. The record ensures that it is not
    // granted when it arrives.
    ClaimRecord record;
    record.key = request.key;
    record.attempt = request.attempt;
    record.state = ClaimState::kReleased;
    record.claimed_ms = log_time;
    record.deadline_ms = log_time;
    Insert(std::move(record));
    return;
  }
  ClaimRecord& stored = found->second;
  if (stored.attempt != request.attempt || stored.state != ClaimState::kRunning)
    return;
  switch (request.outcome) {
    case Outcome::kRan:
      stored.state = ClaimState::kRan;
      stored.answer = request.answer;
      return;
    case Outcome::kNotRun:
      stored.state = ClaimState::kReleased;
      return;
    case Outcome::kUnknown:
      stored.state = ClaimState::kUnknown;
      return;
  }
}

void Ledger::Prune(WallMillis log_time, Duration retention) {
  const WallMillis cutoff = log_time - ToMillis(retention);
  forgotten_before_ = std::max(forgotten_before_, cutoff);
  while (!keys_by_deadline_.empty() &&
         keys_by_deadline_.begin()->first < cutoff)
    Erase(protocol::ClaimKey(keys_by_deadline_.begin()->second));
}

std::vector<ClaimRecord> Ledger::Records() const {
  std::vector<ClaimRecord> records;
  records.reserve(records_.size());
  for (const auto& [key, stored] : records_)
    records.push_back(stored);
  return records;
}

void Ledger::Restore(std::vector<ClaimRecord> records,
                     WallMillis forgotten_before) {
  records_.clear();
  keys_by_deadline_.clear();
  forgotten_before_ = forgotten_before;
  for (ClaimRecord& stored : records)
    Insert(std::move(stored));
}

void Ledger::Insert(ClaimRecord record) {
  keys_by_deadline_.emplace(record.deadline_ms, record.key);
  const protocol::ClaimKey key = record.key;
  records_.insert_or_assign(key, std::move(record));
}

void Ledger::Erase(const protocol::ClaimKey& key) {
  const auto found = records_.find(key);
  keys_by_deadline_.erase({found->second.deadline_ms, key});
  records_.erase(found);
}

// Returns true if the key contains an issue time that is so old that a record
// of the key may already have been removed, or that is too far in the future.
bool Ledger::IsExpired(const ClaimRequest& request, WallMillis log_time) const {
  const auto issued = IssueTimeOfKey(request.key.key);
  if (!issued)
    return false;
  return *issued < forgotten_before_ + kMaxClockLeadMs ||
         *issued > log_time + kMaxClockLeadMs;
}

std::optional<WallMillis> IssueTimeOfKey(const std::string& key) {
  if (key.size() != kUuidLength || key[kUuidVersionIndex] != '7' ||
      key[8] != '-' || key[13] != '-')
    return std::nullopt;
  const std::string digits = key.substr(0, 8) + key.substr(9, 4);
  WallMillis millis = 0;
  const char* end = digits.data() + digits.size();
  const auto [parsed_end, error] =
      std::from_chars(digits.data(), end, millis, kHexBase);
  if (error != std::errc() || parsed_end != end)
    return std::nullopt;
  return millis;
}

}  // namespace jacinth::control
