#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/entry_status.h"

namespace jacinth::steering {

/// Why an entry instance doesn't serve callers.
enum class Absence {
  /// It vanished from the member list, or restarted, without having announced a
  /// stop, or together with most of the fleet. Entries that stop as planned
  /// announce it with `draining`.
  kLost,
  /// It stopped as planned, or has been lost for some time.
  kGone,
};

struct AbsentEntry {
  std::string region;
  Absence absence = Absence::kLost;
  /// Time since which it has been absent for this reason.
  Time since{};
};

/// Entry instances that served callers and don't any more, other than those
/// that are on the member list as draining.
///
/// Known only from the lists that this instance has seen since its start.
class AbsentEntries {
 public:
  /// Applies the newest member list.
  void Update(const std::vector<protocol::EntryStatus>& members, Time now);

  /// Treats lost entries as gone after some time, and forgets the gone ones
  /// later. Returns true if there were any.
  bool Expire(Time now);

  /// Absent entries by id.
  const std::map<std::string, AbsentEntry>& entries() const { return entries_; }

 private:
  std::map<std::string, AbsentEntry> entries_;
  /// Region by id of the entries that served callers in the last member list,
  /// and of those that were about to stop.
  std::map<std::string, std::string> serving_;
  std::map<std::string, std::string> stopping_;
};

}  // namespace jacinth::steering
