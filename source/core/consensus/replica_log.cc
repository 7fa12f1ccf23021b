#include "core/consensus/replica_log.h"

#include <algorithm>
#include <utility>

#include "core/wire/state_codec.h"

namespace jacinth::consensus {

using protocol::LogEntry;
using protocol::LogEntryKind;

ReplicaLog::ReplicaLog(protocol::Snapshot base, std::vector<LogEntry> entries)
    : base_(std::move(base)), entries_(entries.begin(), entries.end()) {}

std::uint64_t ReplicaLog::last_term() const {
  return entries_.empty() ? base_.term : entries_.back().term;
}

std::optional<std::uint64_t> ReplicaLog::TermAt(std::uint64_t index) const {
  if (index == base_.index)
    return base_.term;
  if (index < base_.index || index > last_index())
    return std::nullopt;
  return At(index).term;
}

const LogEntry& ReplicaLog::At(std::uint64_t index) const {
  return entries_[index - first_index()];
}

std::vector<LogEntry> ReplicaLog::Slice(std::uint64_t first,
                                        std::size_t limit) const {
  if (first > last_index())
    return {};
  const std::size_t count =
      std::min<std::size_t>(limit, last_index() - first + 1);
  const auto begin =
      entries_.begin() + static_cast<std::ptrdiff_t>(first - first_index());
  return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

void ReplicaLog::Append(LogEntry entry) {
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty())
    entries_.pop_back();
}

void ReplicaLog::ReplacePrefix(protocol::Snapshot snapshot) {
  if (TermAt(snapshot.index) != snapshot.term) {
    entries_.clear();
  } else {
    const auto count =
        static_cast<std::ptrdiff_t>(snapshot.index - base_.index);
    entries_.erase(entries_.begin(), entries_.begin() + count);
  }
  base_ = std::move(snapshot);
}

protocol::Configuration ReplicaLog::LastConfiguration() const {
  const std::uint64_t index = LastConfigurationIndex();
  if (index == base_.index)
    return base_.configuration;
  return wire::DecodeConfiguration(At(index).payload)
      .value_or(base_.configuration);
}

// Returns the index of the entry or snapshot with the last configuration.
std::uint64_t ReplicaLog::LastConfigurationIndex() const {
  for (std::uint64_t index = last_index(); index > base_.index; --index) {
    if (At(index).kind == LogEntryKind::kConfiguration)
      return index;
  }
  return base_.index;
}

bool ReplicaLog::IsUpToDate(std::uint64_t term, std::uint64_t index) const {
  if (term != last_term())
    return term > last_term();
  return index >= last_index();
}

}  // namespace jacinth::consensus
