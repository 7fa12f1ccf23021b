#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

constexpr const char* kEntry = "e1";

protocol::ListedEndpoint MakeListed(bool draining) {
  protocol::ListedEndpoint endpoint;
  endpoint.id = "1";
  endpoint.started_ms = 1;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:1";
  endpoint.draining = draining;
  return endpoint;
}

/// A leader that has been busy for almost an election timeout, so that its
/// lease has lapsed, though no other replica leads.
struct BusyLeader {
  explicit BusyLeader(std::uint64_t seed) : cluster(seed) {
    cluster.loss_percent = 0;
    cluster.duplicate_percent = 0;
    cluster.on_admin_reply = [this](const AdminReply& reply) {
      replies.push_back(reply);
    };
    cluster.on_entry_message = [this](const std::string& entry,
                                      const protocol::Envelope& envelope) {
      const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
      if (entry == kEntry && reply != nullptr)
        OnReply(*reply);
    };
    cluster.Run(2s);
    leader = cluster.Leader().value();
    term = Replica().term();
    SendHeartbeat();
    cluster.InjectEvent(leader, EndpointsListed{{MakeListed(false)}});
    cluster.Run(200ms);
    SendHeartbeat();
    cluster.Run(200ms);
    cluster.Freeze(leader, kBusy);
    cluster.Run(kBusy);
  }

  void OnReply(const protocol::HeartbeatReply& reply) {
    last_reply = reply;
    if (reply.endpoints.version <= endpoints_version)
      return;
    endpoints_version = reply.endpoints.version;
    for (const protocol::ListedEndpoint& endpoint : reply.endpoints.changed)
      is_draining = endpoint.draining;
  }

  void SendHeartbeat() {
    protocol::Heartbeat heartbeat;
    heartbeat.status.id = kEntry;
    heartbeat.status.incarnation = 1;
    heartbeat.sequence = ++sequence;
    heartbeat.endpoints_version = endpoints_version;
    cluster.SendFromEntry(kEntry, leader, heartbeat);
  }

  const consensus::Replica& Replica() const {
    return *cluster.node(leader)->replica();
  }
  bool Leads() const {
    return Replica().role() == consensus::ReplicaRole::kLeader &&
           Replica().term() == term;
  }
  bool HasLapsed() const { return Leads() && !cluster.HoldsLease(leader); }

  static constexpr Duration kBusy = 185ms;
  ControlCluster cluster;
  std::size_t leader = 0;
  std::uint64_t term = 0;
  std::vector<AdminReply> replies;
  std::uint64_t sequence = 0;
  std::uint64_t endpoints_version = 0;
  bool is_draining = false;
  protocol::HeartbeatReply last_reply;
};

constexpr std::uint64_t kSeeds = 40;
/// Number of seeds of which the lease must have lapsed, so that the test shows
/// anything.
constexpr int kMinLapsed = 10;

}  // namespace

// Pattern: an operator's change takes the leader longer to read than its lease
// lasts. Guards against a leader that refuses the change for that reason, each
// time that the operator sends it again.
TEST_CASE("A change that the leader's lease doesn't outlast is accepted") {
  int lapsed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    BusyLeader busy(seed);
    if (!busy.HasLapsed())
      continue;
    ChangeRequested request;
    request.ticket = 1;
    request.operator_settings.branches = {"*"};
    request.change.idempotency_key = "k";
    request.change.any_revision = true;
    request.change.changes = {{"service/a", {{"ttl_ms", "500"}}}};
    busy.cluster.InjectEvent(busy.leader, request);
    busy.cluster.Run(1s);
    if (!busy.Leads())
      continue;
    ++lapsed;
    REQUIRE(busy.replies.size() == 1);
    CHECK(std::holds_alternative<ChangeAccepted>(busy.replies[0].body));
  }
  CHECK(lapsed >= kMinLapsed);
}

// Pattern: a large change is under way while endpoints leave. Guards against a
// leader that forgets what it has read from the platform because its lease
// lapsed meanwhile, so that entries send to these endpoints until it has read
// the list again.
TEST_CASE("A listing that the leader's lease doesn't outlast reaches entries") {
  int lapsed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    BusyLeader busy(seed);
    if (!busy.HasLapsed())
      continue;
    REQUIRE(busy.endpoints_version != 0);
    busy.cluster.InjectEvent(busy.leader, EndpointsListed{{MakeListed(true)}});
    busy.cluster.Run(500ms);
    if (!busy.Leads())
      continue;
    ++lapsed;
    CHECK(busy.is_draining);
  }
  CHECK(lapsed >= kMinLapsed);
}

// Guards against an entry that takes its settings for the newest on the word of
// a leader that may have been replaced.
TEST_CASE("A leader whose lease has lapsed vouches for no settings") {
  int lapsed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    BusyLeader busy(seed);
    if (!busy.HasLapsed())
      continue;
    ++lapsed;
    protocol::Heartbeat heartbeat;
    heartbeat.status.id = kEntry;
    heartbeat.status.incarnation = 1;
    heartbeat.sequence = 99;
    busy.cluster.InjectEvent(busy.leader, MessageReceived{kEntry, heartbeat});
    REQUIRE(busy.last_reply.sequence == 99);
    CHECK_FALSE(busy.last_reply.leader);
    CHECK(busy.last_reply.settings_piece.bytes.empty());
  }
  CHECK(lapsed >= kMinLapsed);
}

}  // namespace jacinth::control
