#pragma once

#include <cstdint>
#include <string>

namespace jacinth::protocol {

/// State of an entry instance, as it reports it to the control role.
struct EntryStatus {
  std::string id;
  /// Generated at each start, which distinguishes a restart from a lost
  /// connection.
  std::uint64_t incarnation = 0;
  std::string region;
  std::string failure_domain;
  /// Address for callers, `ip:port`.
  std::string address;
  /// Revision of the settings in force on the instance.
  std::uint64_t revision = 0;
  /// True if the instance is about to stop and must be left out of look-ups.
  bool draining = false;
  /// True if the instance reaches no endpoint. It still serves callers through
  /// other entries, but look-ups must name others if there are any.
  bool isolated = false;
  /// True if the instance has started lately and has known no endpoints since.
  /// It is isolated then, but no callers have lost it.
  bool starting = false;
  /// True if the instance is starting after it vanished without having
  /// announced a stop. Set by the control role.
  bool lost = false;

  bool operator==(const EntryStatus&) const = default;
};

}  // namespace jacinth::protocol
