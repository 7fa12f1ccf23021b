#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/rate_limit.h"

namespace jacinth::control {

/// A rate limit that has begun, changed or ended, for log records.
struct RateLimitChange {
  protocol::EndpointKey key;
  /// Empty if the limit has ended.
  std::optional<double> limit_per_s;
  /// Entries that have a share.
  std::size_t sharers = 0;
};

/// Divides the rate limit of each endpoint among the entries, by the demand
/// that they report, so that all entries together keep it.
///
/// The last answer of an endpoint to an entry that knows of its limit decides
/// whether and how much the endpoint is limited. An endpoint may name its limit
/// to some entries only, so answers without it to other entries count only once
/// nothing has been heard from the former for a while.
///
/// Not replicated: entries repeat their reports to a new leader, and keep their
/// shares until that leader sends new ones.
class RateShareAllocator {
 public:
  /// Forgets all limits at the start of a leader's term.
  void Reset(std::uint64_t term);

  void OnReport(const std::string& entry,
                const protocol::RateLimitReport& report,
                Time now);

  /// Removes the limits of endpoints that have left the platform's list or have
  /// restarted; `started_ms` holds the start time of each listed endpoint.
  void RetainEndpoints(
      const std::map<protocol::EndpointKey, std::int64_t>& started_ms);
  /// Removes the demand of entries that are not in `entries`.
  void RetainEntries(const std::set<std::string>& entries);

  /// Divides the limits that have changed, and all if the last division of all
  /// is older than the interval between these.
  void Allocate(Time now);

  /// Returns all shares of an entry that holds `held_version`. If they have not
  /// changed since, the update keeps that version.
  protocol::RateShareUpdate UpdateFor(const std::string& entry,
                                      std::uint64_t held_version) const;

  /// Returns what has changed of them since, or all if that is no longer known.
  protocol::RateShareUpdate ChangesFor(const std::string& entry,
                                       std::uint64_t held_version) const;

  bool IsLimited(const protocol::EndpointKey& key) const;
  std::uint64_t version() const { return version_; }

  /// Removes and returns the changes of limits since the last call.
  std::vector<RateLimitChange> TakeChanges();

 private:
  struct LimitRecord {
    std::int64_t started_ms = 0;
    /// False for endpoints that only the settings name.
    bool is_listed = false;
    /// Limit in force; empty if there is none.
    std::optional<double> limit_per_s;
    /// Limit in the last answer to an entry that knows of the limit; empty if
    /// that answer named none.
    std::optional<double> told_limit_per_s;
    Time told_at{};
    /// Entry that received that answer.
    std::string told_entry;
    /// Time of the last answer without a limit to an entry that never was told
    /// of one.
    Time untold_at{};
    std::map<std::string, double> demand_by_entry;
    std::map<std::string, double> share_by_entry;
    /// Version in which the limit has last begun, changed or ended; 0 if it
    /// never was in force.
    std::uint64_t limit_changed = 0;
    /// The same for the share of each entry.
    std::map<std::string, std::uint64_t> share_changed;
  };

  void UpdateLimit(const protocol::EndpointKey& key, LimitRecord& record);
  void RecordEnd(const protocol::EndpointKey& key, const LimitRecord& record);
  void DivideChanged(std::uint64_t next);
  bool Redivide(LimitRecord& record, std::uint64_t next);
  static std::map<std::string, double> Divide(const LimitRecord& record);
  std::uint64_t LastChangeFor(const std::string& entry) const;
  bool KeepsChangesSince(const std::string& entry,
                         std::uint64_t held_version) const;

  std::uint64_t version_ = 0;
  /// Version in which a limit has last begun, changed or ended, which all
  /// entries are told.
  std::uint64_t limits_changed_ = 0;
  /// Later versions in which the shares of single entries have last changed.
  std::map<std::string, std::uint64_t> shares_changed_;
  std::map<protocol::EndpointKey, LimitRecord> records_;
  std::set<protocol::EndpointKey> changed_;
  /// Limits that have begun, changed or ended since the last call of
  /// Allocate().
  std::set<protocol::EndpointKey> pending_;
  /// Version in which the limit of each endpoint that has no record any more
  /// has ended, and the last one that was forgotten.
  std::map<protocol::EndpointKey, std::uint64_t> ended_;
  std::uint64_t forgotten_end_ = 0;
  /// Version since which the changes for each entry are known.
  std::map<std::string, std::uint64_t> kept_since_;
  Time next_allocation_{};
};

}  // namespace jacinth::control
