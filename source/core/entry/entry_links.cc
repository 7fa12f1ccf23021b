#include <utility>
#include <vector>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

using forwarding::AttemptEnd;
using forwarding::LinkCandidate;
using forwarding::LinkState;

bool IsLinkFailure(AttemptEnd end) {
  return end == AttemptEnd::kNotConnected ||
         end == AttemptEnd::kConnectionLost || end == AttemptEnd::kTimedOut;
}

}  // namespace

// Tells the link monitor how an attempt ended.
void EntryNode::TrackLinks(const RequestRecord& record,
                           const AttemptEnded& event,
                           Time now) {
  if (IsLinkFailure(event.end)) {
    links_.OnFailure(record.endpoint, now);
  } else if (event.end != AttemptEnd::kCancelled) {
    links_.OnAnswer(now);
    if (event.opened_connection)
      links_.OnConnected(record.attempt_started, now);
  }
}

// Suspects links that carry no responses, and probes those under suspicion.
void EntryNode::CheckLinks(Time now) {
  links_.CheckSilence(now);
  ProbeLinks(now);
}

// Probes endpoints while the links are suspected or lost.
void EntryNode::ProbeLinks(Time now) {
  if (!links_.WantsProbes(now))
    return;
  std::vector<LinkCandidate> candidates;
  for (const auto& [name, service_state] : services_) {
    for (const settings::EndpointSettings& endpoint :
         service_state.settings.endpoints) {
      if (!endpoint.drained &&
          service_state.endpoints.AcceptsProbes(endpoint.name, now))
        candidates.push_back({name, endpoint.name, endpoint.failure_domain});
    }
  }
  const std::uint64_t random_value =
      Hash64(options_.self.id,
             static_cast<std::uint64_t>(now.time_since_epoch().count()));
  for (const LinkCandidate& candidate :
       links_.SelectProbes(std::move(candidates), random_value, now)) {
    const ServiceState& service_state = services_.at(candidate.service);
    const settings::EndpointSettings* endpoint =
        service_state.endpoints.Find(candidate.endpoint);
    actions_.probes.push_back(
        {candidate.service, candidate.endpoint, endpoint->address,
         service_state.settings.health_path, endpoint->incarnation,
         /*tests_links=*/true, endpoint->started_ms});
  }
}

// Announces that the links are lost or restored, and hands over what waits.
void EntryNode::OnLinkStateChange(Time now) {
  const LinkState state = links_.state();
  const LinkState before = std::exchange(applied_links_, state);
  if (state == before)
    return;
  AddLogRecord("links_changed")
      .With("state", forwarding::LinkStateName(state))
      .With("before", forwarding::LinkStateName(before));
  const bool lost = state == LinkState::kLost;
  if (!lost && before != LinkState::kLost)
    return;
  // The failures were those of the links.
  for (auto& [name, service_state] : services_)
    service_state.endpoints.ForgiveFailures();
  if (!lost)
    return;
  RelayWaitingRequests(now);
  if (!links_.is_silent())
    return;
  actions_.drop_idle_connections = true;
  RelayRunningRequests(now);
}

}  // namespace jacinth::entry
