#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinth::protocol {

/// One endpoint out of the list that the platform keeps.
struct ListedEndpoint {
  /// Name under which the endpoint checks that a request is meant for it.
  std::string id;
  /// Start of the endpoint in Unix milliseconds; 0 if the list doesn't say. An
  /// endpoint that starts again may keep its id.
  std::int64_t started_ms = 0;
  std::string service;
  /// `ip:port`.
  std::string address;
  std::string failure_domain;
  int slots = 1;
  /// The endpoint is leaving and must get no new work.
  bool draining = false;
  /// How much longer the endpoint was cold when the list was read, in
  /// milliseconds.
  std::int64_t cold_for_ms = 0;

  bool operator==(const ListedEndpoint&) const = default;
};

/// Changes that bring an entry's list of endpoints up to `version`.
struct EndpointUpdate {
  /// Term of the leader that made the list, in the upper 32 bits, and a count;
  /// 0 if there is no update.
  std::uint64_t version = 0;
  /// Version that the changes build on; 0 if `changed` is the whole list.
  std::uint64_t base = 0;
  std::vector<ListedEndpoint> changed;
  std::vector<std::string> removed;

  bool operator==(const EndpointUpdate&) const = default;
};

}  // namespace jacinth::protocol
