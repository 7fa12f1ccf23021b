#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jacinth::forwarding {

/// Whether this entry can open connections to endpoints.
enum class LinkState {
  kConnected,
  /// Several endpoints have failed in a row; probes of others are under way.
  kSuspected,
  /// No endpoint can be reached, so the cause lies with this entry's links.
  kLost,
};

/// Returns the name of a state in logs.
std::string_view LinkStateName(LinkState state);

/// How a probe of the links ended.
enum class LinkProbeEnd {
  /// The endpoint responded.
  kConnected,
  /// The connection was refused or reset.
  kRefused,
  /// No connection was established in time.
  kNoResponse,
  /// The connection was established, but no response was received in time.
  kSilent,
};

/// An endpoint that may be probed.
struct LinkCandidate {
  std::string service;
  std::string endpoint;
  std::string failure_domain;
};

/// Tells the loss of this entry's links to all endpoints from the failure of
/// some endpoints.
///
/// Only an exchange on a new connection shows that the links work: connections
/// that were open before may live on while new ones are refused. When several
/// endpoints have failed without one, or requests were sent and no endpoint has
/// answered for a while, others are probed. The links are lost if all of these
/// refuse the connection, or if none responds and no endpoint has answered any
/// request for a while: as long as answers arrive, the links are merely slow.
/// Probes go on until one succeeds.
class LinkMonitor {
 public:
  LinkState state() const { return state_; }
  /// Returns true if the links are lost and open connections carry no responses
  /// either, as far as it is known.
  bool is_silent() const {
    return state_ == LinkState::kLost && !all_refused_when_lost_;
  }

  /// Sets the number of endpoints of all services. If there are few, the
  /// failure of all of them is enough for a suspicion.
  void SetEndpointCount(std::size_t count) { endpoint_count_ = count; }

  /// An attempt at the endpoint ended without an answer.
  void OnFailure(const std::string& endpoint, Time now);
  /// A request was sent to an endpoint.
  void OnSent(Time now) {
    if (!unanswered_since_)
      unanswered_since_ = now;
  }
  /// An endpoint answered a request.
  void OnAnswer(Time now);
  /// Suspects the links if requests were sent and no endpoint has answered for
  /// a while. One request is enough: those of a quiet entry may all go to the
  /// same endpoint.
  void CheckSilence(Time now);
  /// An endpoint answered on a connection that was opened at `opened` or later.
  /// Failures since then still count, and lost links are restored by probes
  /// only.
  void OnConnected(Time opened, Time now);

  /// Returns true if probes must be sent now; SelectProbes() then selects the
  /// endpoints.
  bool WantsProbes(Time now) const;
  /// Selects the endpoints to probe, in different failure domains as far as
  /// possible. `random_value` is a pseudorandom number.
  std::vector<LinkCandidate> SelectProbes(std::vector<LinkCandidate> candidates,
                                          std::uint64_t random_value,
                                          Time now);
  void OnProbeEnd(LinkProbeEnd end, Time now);

 private:
  /// Returns the number of endpoints that is enough for a suspicion.
  std::size_t MinSuspiciousEndpoints() const;
  bool IsSuspicious() const;
  void SetConnected(Time now);

  LinkState state_ = LinkState::kConnected;
  /// Time of the last failure of each endpoint since the last connection.
  std::map<std::string, Time> failed_;
  /// Time of the first request since the last answer of any endpoint.
  std::optional<Time> unanswered_since_;
  std::size_t endpoint_count_ = 0;
  int pending_probes_ = 0;
  /// True if none of the current probes went without a response.
  bool all_refused_ = true;
  /// True if one of the current probes established a connection.
  bool any_silent_ = false;
  /// Values of `all_refused_` and `any_silent_` when the links were lost.
  bool all_refused_when_lost_ = false;
  bool any_silent_when_lost_ = false;
  Time last_answer_{};
  Time next_probes_{};
  /// Time until which the links aren't suspected again.
  Time trusted_until_{};
};

}  // namespace jacinth::forwarding
