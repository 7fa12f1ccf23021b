#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

/// Voters and machines that may join; the users' group has 5 of 15.
constexpr ControlCluster::Layout kLayout{8, 3, 5};
/// Time within which such a group has grown to its full size.
constexpr Duration kGrowth = 6s;
/// Disks that may be lost at the same moment.
constexpr std::size_t kLostDisks = 2;
constexpr std::uint64_t kSeeds = 30;
constexpr Duration kChangeInterval = 15ms;
/// Time within which the group must serve again, the platform's recovery_s.
constexpr Duration kRecovery = 15s;

/// What goes on when all power is lost.
enum class Disruption {
  kNone,
  kLeaderCrash,
  kLeaderFreeze,
  kLeaderCutOff,
  kLeaderStop,
  /// A voter that missed so many changes that it is sent a snapshot.
  kVoterBehind,
  /// A voter is silent for so long that another replica takes its place.
  kVoterReplaced,
  /// A voter has lost its disk and comes back, the first of the two.
  kVoterWiped,
};

/// A group that is sent changes all the time.
class BusyGroup {
 public:
  explicit BusyGroup(std::uint64_t seed)
      : cluster_(seed, kLayout), random_(seed) {
    cluster_.on_admin_reply = [this](const AdminReply& reply) {
      if (std::holds_alternative<ChangeAccepted>(reply.body))
        acknowledged_.insert(reply.ticket);
    };
    cluster_.Run(kGrowth);
    // The later a disk syncs, the more is at stake.
    constexpr std::array kSyncTimes = {5ms, 30ms, 100ms};
    if (const std::size_t index = seed % 4; index < kSyncTimes.size())
      cluster_.sync_time = kSyncTimes[index];
    constexpr int kLossStep = 5;
    cluster_.loss_percent = static_cast<int>(seed % 3) * kLossStep;
  }

  void Run(Duration duration) {
    const Time end = cluster_.now() + duration;
    while (cluster_.now() < end) {
      if (cluster_.now() >= next_change_) {
        next_change_ = cluster_.now() + kChangeInterval;
        SendChange();
      }
      cluster_.Run(5ms);
    }
  }

  void Begin(Disruption disruption) {
    const std::optional<std::size_t> leader = cluster_.Leader();
    REQUIRE(leader);
    switch (disruption) {
      case Disruption::kNone:
        return;
      case Disruption::kLeaderCrash:
        cluster_.Crash(*leader);
        return;
      case Disruption::kLeaderFreeze:
        cluster_.Freeze(*leader, 5s);
        return;
      case Disruption::kLeaderCutOff:
        CutOff(*leader);
        return;
      case Disruption::kLeaderStop:
        cluster_.InjectEvent(*leader, StopRequested{});
        return;
      case Disruption::kVoterBehind: {
        const std::size_t voter = RandomFollower(*leader);
        cluster_.Freeze(voter, 500ms);
        Run(500ms);
        return;
      }
      case Disruption::kVoterReplaced:
        cluster_.Freeze(RandomFollower(*leader), 5s);
        Run(ControlCluster::kReplaceAfter);
        return;
      case Disruption::kVoterWiped: {
        const std::size_t voter = RandomFollower(*leader);
        cluster_.WipeDisk(voter);
        cluster_.Restart(voter);
        wiped_ = voter;
        return;
      }
    }
  }

  /// All machines lose power, two voters their disks as well; all start again.
  void LosePowerAndDisks() {
    std::vector<std::size_t> lost;
    const std::vector<std::string> voters = Voters();
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const bool is_voter =
          cluster_.IsUp(i) &&
          std::find(voters.begin(), voters.end(),
                    cluster_.node(i)->replica_id()) != voters.end();
      if (is_voter && i != wiped_)
        lost.push_back(i);
    }
    std::shuffle(lost.begin(), lost.end(), random_);
    lost.resize(std::min(lost.size(), kLostDisks - (wiped_ ? 1 : 0)));
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      cluster_.Crash(i);
    cluster_.UnblockLinks();
    for (const std::size_t machine : lost)
      cluster_.WipeDisk(machine);
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      cluster_.Restart(i);
    const Time end = cluster_.now() + kRecovery;
    while (!cluster_.Leader() && cluster_.now() < end)
      cluster_.Run(20ms);
    INFO(cluster_.Describe());
    REQUIRE(cluster_.Leader());
  }

  /// Returns the acknowledged changes that are gone.
  std::vector<AdminTicket> LostChanges() const {
    const ControlState& state =
        cluster_.node(cluster_.Leader().value())->state();
    std::vector<AdminTicket> lost;
    for (const AdminTicket ticket : acknowledged_) {
      if (state.tree().Find(BranchOf(ticket)) == nullptr)
        lost.push_back(ticket);
    }
    return lost;
  }

  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  static std::string BranchOf(AdminTicket ticket) {
    return "service/s" + std::to_string(ticket);
  }

  void SendChange() {
    const auto leader = cluster_.Leader();
    if (!leader)
      return;
    ChangeRequested request;
    request.ticket = ++last_ticket_;
    request.operator_settings.branches = {"*"};
    request.change.operator_name = "op";
    request.change.idempotency_key = std::to_string(last_ticket_);
    request.change.any_revision = true;
    request.change.changes = {{BranchOf(last_ticket_), {{"ttl_ms", "500"}}}};
    cluster_.InjectEvent(*leader, request);
  }

  /// Returns the voters as the replica knows them that has the longest log.
  std::vector<std::string> Voters() const {
    std::vector<std::string> voters;
    std::uint64_t last_index = 0;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.IsUp(i) || cluster_.node(i)->replica() == nullptr)
        continue;
      const consensus::Replica& replica = *cluster_.node(i)->replica();
      if (replica.last_index() < last_index)
        continue;
      last_index = replica.last_index();
      voters = replica.configuration().voters;
    }
    return voters;
  }

  std::size_t RandomFollower(std::size_t leader) {
    const std::vector<std::string> voters = Voters();
    std::vector<std::size_t> followers;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (i != leader &&
          std::find(voters.begin(), voters.end(),
                    cluster_.node(i)->replica_id()) != voters.end())
        followers.push_back(i);
    }
    return followers[random_() % followers.size()];
  }

  void CutOff(std::size_t machine) {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (i == machine)
        continue;
      cluster_.BlockLink(machine, i);
      cluster_.BlockLink(i, machine);
    }
  }

  ControlCluster cluster_;
  std::mt19937_64 random_;
  Time next_change_{};
  AdminTicket last_ticket_ = 0;
  std::set<AdminTicket> acknowledged_;
  /// Machine that has lost its disk before the others.
  std::optional<std::size_t> wiped_;
};

}  // namespace

// Pattern: a day's end in the middle of other trouble. Guards against an
// acknowledgement that comes before a majority of disks holds what it is for.
TEST_CASE(
    "Changes outlive a loss of two disks and of all power at any moment") {
  const Disruption disruption =
      GENERATE(Disruption::kNone, Disruption::kLeaderCrash,
               Disruption::kLeaderFreeze, Disruption::kLeaderCutOff,
               Disruption::kLeaderStop, Disruption::kVoterBehind,
               Disruption::kVoterReplaced, Disruption::kVoterWiped);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(disruption), seed);
    BusyGroup group(seed);
    group.Run(300ms);
    group.Begin(disruption);
    // Longer than an election and the installation of a snapshot.
    const Duration moment = 5ms * static_cast<int>(seed * 37 % 160);
    group.Run(moment);
    REQUIRE(group.acknowledged() > 0);
    group.LosePowerAndDisks();
    CHECK(group.LostChanges().empty());
  }
}

}  // namespace jacinth::control
