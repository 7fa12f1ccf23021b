#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

/// The replicas' times on the platform.
constexpr ControlCluster::Layout kLayout{5, 3, 5, 500ms, 120ms, 2'500ms};
/// The platform's bounds: time after the last disturbance from which the group
/// counts as stable, and time within which it must acknowledge a change then.
constexpr Duration kContact = 4s;
constexpr Duration kMaxAck = 4s;
/// Interval at which an operator sends an unanswered change again.
constexpr Duration kPatience = 1s;
/// Time within which the soak expects the first configuration to be accepted,
/// and shortest time between two disks that are lost there.
constexpr Duration kMaxFirstAck = 20s;
constexpr Duration kMinWipeInterval = 8s;
/// Time within which the group must serve again, the platform's recovery_s.
constexpr Duration kMaxRecovery = 15s;
constexpr std::uint64_t kSeeds = 20;

ControlCluster MakeCluster(std::uint64_t seed, Duration sync_time) {
  ControlCluster cluster(seed, kLayout);
  cluster.loss_percent = 0;
  cluster.duplicate_percent = 0;
  cluster.Run(5s);
  cluster.sync_time = sync_time;
  return cluster;
}

ChangeRequested MakeChange(const std::string& key, AdminTicket ticket) {
  ChangeRequested request;
  request.ticket = ticket;
  request.operator_settings.branches = {"*"};
  request.change.idempotency_key = key;
  request.change.any_revision = true;
  request.change.changes = {{"service/" + key, {{"ttl_ms", "500"}}}};
  return request;
}

/// Sends a change to the leader again and again until it is acknowledged, for
/// 20 s at most. Returns the time that this takes.
std::optional<Duration> AcknowledgeChange(ControlCluster& cluster,
                                          const std::string& key) {
  bool acknowledged = false;
  cluster.on_admin_reply = [&](const AdminReply& reply) {
    acknowledged |= std::holds_alternative<ChangeAccepted>(reply.body);
  };
  const Time sent = cluster.now();
  Time next_attempt = sent;
  AdminTicket ticket = 0;
  while (!acknowledged && cluster.now() < sent + 20s) {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.now() < next_attempt || !cluster.IsUp(i))
        continue;
      if (!cluster.node(i)->Leads())
        continue;
      next_attempt = cluster.now() + kPatience;
      cluster.InjectEvent(i, MakeChange(key, ++ticket));
    }
    cluster.Run(5ms);
  }
  cluster.on_admin_reply = nullptr;
  if (!acknowledged)
    return std::nullopt;
  return cluster.now() - sent;
}

std::uint64_t Term(const ControlCluster& cluster) {
  std::uint64_t term = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.IsUp(i))
      term = std::max(term, cluster.node(i)->replica()->term());
  }
  return term;
}

/// A group beside disks whose syncs take 0.3 to 1.9 s each, and clients whose
/// requests are logged. Machines that are no contacts start 1.5 to 6.5 s after
/// the others, as some processes do beside such disks.
class LateGroup {
 public:
  explicit LateGroup(std::uint64_t seed)
      : cluster_(seed, kLayout), random_(seed) {
    cluster_.loss_percent = 0;
    cluster_.duplicate_percent = 0;
    for (std::size_t i = kLayout.contacts; i < kLayout.machines; ++i) {
      cluster_.Crash(i);
      starts_.emplace(cluster_.now() + RandomTime(1'500ms, 6'500ms), i);
    }
  }

  void Run(Duration duration) {
    for (const Time end = cluster_.now() + duration; cluster_.now() < end;)
      Step();
  }

  /// Sends the first change to all replicas until one acknowledges it. Returns
  /// the time since the start of the group; nothing after 20 s.
  std::optional<Duration> AcknowledgeFirstChange() {
    bool acknowledged = false;
    cluster_.on_admin_reply = [&](const AdminReply& reply) {
      acknowledged |= std::holds_alternative<ChangeAccepted>(reply.body);
    };
    const Time start = cluster_.now();
    Time next_attempt = start;
    AdminTicket ticket = 0;
    while (!acknowledged && cluster_.now() < start + kMaxFirstAck) {
      const bool sends = cluster_.now() >= next_attempt;
      if (sends)
        next_attempt = cluster_.now() + kPatience;
      for (std::size_t i = 0; sends && i < cluster_.size(); ++i)
        cluster_.InjectEvent(i, MakeChange("first", ++ticket));
      Step();
    }
    cluster_.on_admin_reply = nullptr;
    if (!acknowledged)
      return std::nullopt;
    return cluster_.now() - start;
  }

  /// A machine loses its disk and starts again soon.
  void LoseDisk(std::size_t machine) {
    cluster_.WipeDisk(machine);
    starts_.emplace(cluster_.now() + RandomTime(0ms, 200ms), machine);
  }

  bool RegainsLeader(Duration limit) {
    const Time end = cluster_.now() + limit;
    while (!cluster_.Leader() && cluster_.now() < end)
      Step();
    return cluster_.Leader().has_value();
  }

  std::size_t VoterCount() const {
    const auto leader = cluster_.Leader();
    if (!leader)
      return 0;
    return cluster_.node(*leader)->replica()->configuration().voters.size();
  }

 private:
  void Step() {
    cluster_.sync_time = RandomTime(300ms, 1'900ms);
    while (!starts_.empty() && starts_.begin()->first <= cluster_.now()) {
      cluster_.Restart(starts_.begin()->second);
      starts_.erase(starts_.begin());
    }
    if (const auto leader = cluster_.Leader()) {
      const std::string number = std::to_string(++claims_);
      cluster_.SendFromEntry(
          "e1", *leader,
          protocol::ClaimRequest{
              "e1/1/" + number, {"caller", number}, 1, 5'000, ""});
    }
    cluster_.Run(15ms);
  }

  Duration RandomTime(std::chrono::milliseconds min,
                      std::chrono::milliseconds max) {
    const auto range = static_cast<std::uint64_t>((max - min).count() + 1);
    return min + std::chrono::milliseconds(random_() % range);
  }

  ControlCluster cluster_;
  std::mt19937_64 random_;
  /// Machines that are down, by the time at which they start.
  std::multimap<Time, std::size_t> starts_;
  int claims_ = 0;
};

}  // namespace

// Guards against a leader that takes the time which its followers' disks need
// for their silence, so that each write ends its term.
TEST_CASE("A leader outlasts syncs that are longer than its lease") {
  const Duration sync_time = GENERATE(Duration{450ms}, Duration{700ms});
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(ToMillis(sync_time), seed);
    ControlCluster cluster = MakeCluster(seed, sync_time);
    const std::uint64_t term = Term(cluster);
    for (int i = 0; i < 5; ++i) {
      const auto took = AcknowledgeChange(cluster, "s" + std::to_string(i));
      REQUIRE(took);
      CHECK(*took <= kMaxAck);
      CHECK(cluster.Leader());
    }
    CHECK(Term(cluster) == term);
  }
}

// Guards against elections that begin anew before the votes of the last one
// are on disk, so that nobody is ever elected.
TEST_CASE("A leader is elected with syncs longer than an election timeout") {
  const Duration sync_time = GENERATE(Duration{450ms}, Duration{700ms});
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(ToMillis(sync_time), seed);
    ControlCluster cluster = MakeCluster(seed, sync_time);
    const std::size_t leader = cluster.Leader().value();
    cluster.Crash(leader);
    cluster.Run(200ms);
    cluster.Restart(leader);
    cluster.Run(kContact);
    const auto took = AcknowledgeChange(cluster, "s");
    REQUIRE(took);
    CHECK(*took <= kMaxAck);
  }
}

// Pattern: a machine loses its disk while clients send requests that are
// logged. Guards against a learner that never counts as caught up, as there are
// always entries that the others have synced and it hasn't.
TEST_CASE("A wiped replica is a voter again beside a flow of entries") {
  // The time after which a lost replica must have been replaced, and the
  // shortest time between two lost disks in the soak.
  const auto [sync_time, limit] = GENERATE(
      std::pair{Duration{50ms}, kContact}, std::pair{Duration{300ms}, kContact},
      std::pair{Duration{1s}, 2 * kContact});
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(ToMillis(sync_time), seed);
    ControlCluster cluster = MakeCluster(seed, sync_time);
    int claims = 0;
    const auto run_with_claims = [&](Duration duration) {
      const Time end = cluster.now() + duration;
      while (cluster.now() < end) {
        const std::string number = std::to_string(++claims);
        const protocol::ClaimRequest claim{
            "e1/1/" + number, {"caller", number}, 1, 5'000, ""};
        if (const auto leader = cluster.Leader())
          cluster.SendFromEntry("e1", *leader, claim);
        cluster.Run(15ms);
      }
    };
    run_with_claims(2s);
    const std::size_t lost =
        (cluster.Leader().value() + 1 + seed % 4) % cluster.size();
    cluster.WipeDisk(lost);
    run_with_claims(200ms);
    cluster.Restart(lost);
    const std::string id = cluster.node(lost)->replica_id();
    const auto is_voter = [&] {
      const auto leader = cluster.Leader();
      if (!leader)
        return false;
      const auto* replica = cluster.node(*leader)->replica();
      return replica->ConfigurationSettled() &&
             replica->configuration().IsVoter(id);
    };
    const Time end = cluster.now() + limit;
    while (!is_voter() && cluster.now() < end)
      run_with_claims(15ms);
    CHECK(is_voter());
  }
}

// Guards against a group that is told its first settings before it can lose two
// disks, as each machine that starts late is made a member only after the one
// before it.
TEST_CASE("Late machines are voters before the first change is acknowledged") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LateGroup group(seed);
    REQUIRE(group.AcknowledgeFirstChange());
    CHECK(group.VoterCount() == kLayout.target_voters);
  }
}

// Pattern: two machines lose their disks in turn, right after the first change.
// Guards against a group that is left without a quorum by that.
TEST_CASE("A group whose machines started late bears two lost disks") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LateGroup group(seed);
    REQUIRE(group.AcknowledgeFirstChange());
    const std::size_t lost = seed % kLayout.machines;
    group.LoseDisk(lost);
    group.Run(kMinWipeInterval);
    group.LoseDisk((lost + 1) % kLayout.machines);
    // The lease of a leader that has lost its quorum ends.
    group.Run(kContact);
    CHECK(group.RegainsLeader(kMaxRecovery));
  }
}

}  // namespace jacinth::control
