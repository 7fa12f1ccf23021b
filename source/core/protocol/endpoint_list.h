#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jacinth::protocol {

/// An endpoint in the platform's list.
struct ListedEndpoint {
  /// Id that is sent with each request, so that an endpoint can refuse requests
  /// meant for another one.
  std::string id;
  /// Start time in Unix milliseconds; 0 if the list does not give it. A
  /// restarted endpoint may have the same id as before.
  std::int64_t started_ms = 0;
  std::string service;
  /// `ip:port`.
  std::string address;
  std::string failure_domain;
  int slots = 1;
  /// True if the endpoint is being drained and must not receive new requests.
  bool draining = false;
  /// Time for which the endpoint remains cold after the list was read, in
  /// milliseconds.
  std::int64_t cold_for_ms = 0;

  bool operator==(const ListedEndpoint&) const = default;
};

/// Tells the leader that a process of an endpoint must not receive new
/// requests, whether the endpoint itself or an earlier list has said so.
struct DrainReport {
  std::string endpoint;
  std::string address;
  /// Start time in Unix milliseconds; never 0.
  std::int64_t started_ms = 0;

  bool operator==(const DrainReport&) const = default;
};

/// Returns the processes that a list shows as draining. Endpoints of unknown
/// start time are left out, as nobody could tell when another process has taken
/// their place.
std::vector<DrainReport> ListedDrains(
    const std::vector<ListedEndpoint>& endpoints);

/// Finds the processes in a list that another one has followed under the same
/// id and in the same service: a list may show both for some time. Refers to
/// the list.
class LastProcesses {
 public:
  explicit LastProcesses(const std::vector<ListedEndpoint>& endpoints);

  bool IsFollowed(const ListedEndpoint& endpoint) const;

 private:
  /// Start of the last process by id and service.
  std::map<std::pair<std::string_view, std::string_view>, std::int64_t> starts_;
};

/// How current the endpoints are that a replica tells an entry of.
struct ListingState {
  /// Version of the leader's list; 0 if the sender doesn't lead.
  std::uint64_t version = 0;
  /// Version that the leader assumes the entry to hold, which it does if every
  /// update that it was sent before has arrived; 0 if the message doesn't tell.
  std::uint64_t sent_version = 0;
  /// Time from the beginning of the sender's newest complete reading of the
  /// platform's list until the entry's heartbeat arrived, in milliseconds by
  /// the sender's clock; 0 if the reading began after that.
  std::int64_t age_ms = 0;
  /// Interval at which the leader reads that list, in milliseconds; 0 if the
  /// message doesn't tell.
  std::int64_t interval_ms = 0;

  bool operator==(const ListingState&) const = default;
};

/// Changes that update an entry's endpoint list to `version`.
struct EndpointUpdate {
  /// Term of the leader that created the list, in the upper 32 bits, and a
  /// counter in the lower ones; 0 if there is no update.
  std::uint64_t version = 0;
  /// Version that the changes are based on; 0 if `changed` is the whole list.
  std::uint64_t base = 0;
  std::vector<ListedEndpoint> changed;
  std::vector<std::string> removed;
  /// Parts of the list (see TableDigest) in which the entry's list differed, if
  /// `base` is 0: `changed` holds all endpoints in them, and in all other parts
  /// the lists are the same. Empty if `changed` is the whole list.
  std::optional<std::vector<int>> parts;

  bool operator==(const EndpointUpdate&) const = default;
};

}  // namespace jacinth::protocol
