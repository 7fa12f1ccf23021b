#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/protocol/endpoint_list.h"

namespace jacinth::control {

/// The leader's copy of the platform's list of endpoints, with versions so that
/// entries are sent only what changed. Not replicated: a new leader reads it
/// anew.
class EndpointCatalog {
 public:
  /// Forgets everything at the start of a leader's term.
  void Reset(std::uint64_t term);

  /// Takes over a reading of the whole list; returns true if anything changed.
  /// An endpoint once seen draining stays so for as long as it is listed under
  /// the same start, as readings may overtake each other.
  bool Take(const std::vector<protocol::ListedEndpoint>& list, Time now);

  /// Version of the list; 0 before the first reading.
  std::uint64_t version() const { return version_; }

  /// What an entry that holds `version` lacks.
  protocol::EndpointUpdate UpdateFor(std::uint64_t version, Time now) const;

  /// All endpoints as of `now`.
  std::vector<protocol::ListedEndpoint> All(Time now) const;

  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    protocol::ListedEndpoint endpoint;
    Time cold_until{};
    /// Version at which the row last changed.
    std::uint64_t changed = 0;
  };

  bool TakeRow(const protocol::ListedEndpoint& endpoint,
               std::uint64_t version,
               Time now);
  static protocol::ListedEndpoint Describe(const Row& row, Time now);

  std::uint64_t first_version_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, Row> rows_;
  /// Ids removed, with the version of their removal, oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> removed_;
};

}  // namespace jacinth::control
