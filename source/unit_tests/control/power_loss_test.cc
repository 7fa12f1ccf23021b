#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using test::ControlCluster;

constexpr const char* kEntry = "e1";
/// Voters and machines that may join; the users' group has 5 of 15.
constexpr ControlCluster::Layout kLayout{8, 3, 5};
/// Time within which such a group has grown to its full size.
constexpr Duration kGrowth = 6s;
/// Disks that may be lost at the same moment.
constexpr std::size_t kLostDisks = 2;
constexpr std::uint64_t kSeeds = 25;
/// Time within which the group must serve again, the platform's recovery_s.
constexpr Duration kRecovery = 15s;

const protocol::ClaimKey kKey{"caller", "key"};

/// A group that loses the disks of two voters and the power of all other
/// machines, voters or not, right after an acknowledgement.
class Group {
 public:
  explicit Group(std::uint64_t seed, Duration age = kGrowth)
      : cluster_(seed, kLayout), random_(seed), is_grown_(age >= kGrowth) {
    cluster_.on_admin_reply = [this](const AdminReply& reply) {
      acknowledged_ |= std::holds_alternative<ChangeAccepted>(reply.body);
    };
    cluster_.on_entry_message = [this](const std::string& /*entry*/,
                                       const protocol::Envelope& envelope) {
      if (const auto* reply = std::get_if<protocol::ClaimReply>(&envelope))
        claim_reply_ = *reply;
      acknowledged_ |= std::holds_alternative<protocol::FinishReply>(envelope);
    };
    cluster_.Run(age);
  }

  /// Sends until there is an acknowledgement, and ends at that moment.
  void RunUntilAcknowledged(const std::function<void(std::size_t)>& send) {
    acknowledged_ = false;
    const Time end = cluster_.now() + 10s;
    Time next_send{};
    while (!acknowledged_ && cluster_.now() < end) {
      const auto leader = cluster_.Leader();
      if (leader && cluster_.now() >= next_send) {
        next_send = cluster_.now() + 500ms;
        send(*leader);
      }
      cluster_.Run(5ms);
    }
    REQUIRE(acknowledged_);
  }

  void Change(const std::string& branch, const settings::Tree::Values& values) {
    RunUntilAcknowledged([&](std::size_t leader) {
      ChangeRequested request;
      request.ticket = 1;
      request.operator_settings.branches = {"*"};
      request.change.idempotency_key = branch;
      request.change.any_revision = true;
      request.change.changes = {{branch, values}};
      cluster_.InjectEvent(leader, request);
    });
  }

  /// Claims kKey until there is an answer.
  protocol::ClaimReply Claim(const std::string& attempt) {
    claim_reply_.reset();
    const Time end = cluster_.now() + 10s;
    while (!claim_reply_ && cluster_.now() < end) {
      if (const auto leader = cluster_.Leader()) {
        cluster_.SendFromEntry(
            kEntry, *leader,
            protocol::ClaimRequest{attempt, kKey, 1, 5'000, ""});
      }
      cluster_.Run(500ms);
    }
    REQUIRE(claim_reply_);
    return *claim_reply_;
  }

  void Finish(const std::string& attempt) {
    RunUntilAcknowledged([&](std::size_t leader) {
      cluster_.SendFromEntry(kEntry, leader,
                             protocol::FinishRequest{
                                 attempt, kKey, Outcome::kRan, {200, "", "a"}});
    });
  }

  /// A voter loses its disk and starts again; the group runs on for `duration`.
  void LoseDisk(Duration duration) {
    const std::vector<std::string> voters =
        cluster_.node(cluster_.Leader().value())
            ->replica()
            ->configuration()
            .voters;
    const std::string& lost = voters[random_() % voters.size()];
    std::size_t machine = 0;
    while (cluster_.node(machine)->replica_id() != lost)
      ++machine;
    cluster_.WipeDisk(machine);
    cluster_.Restart(machine);
    wiped_ = machine;
    is_grown_ = false;
    cluster_.Run(duration);
  }

  /// All machines lose power, voters their disks as well, and start again. Of
  /// voters, two lose their disks, or one if another has lost its disk before.
  void LosePowerAndDisks() {
    const std::vector<std::string> voters =
        cluster_.node(cluster_.Leader().value())
            ->replica()
            ->configuration()
            .voters;
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const std::string& id = cluster_.node(i)->replica_id();
      const bool is_voter =
          std::find(voters.begin(), voters.end(), id) != voters.end();
      if (is_voter && i != wiped_)
        lost.push_back(i);
      cluster_.Crash(i);
    }
    REQUIRE(lost.size() >= (is_grown_ ? kLayout.target_voters : kLostDisks));
    std::shuffle(lost.begin(), lost.end(), random_);
    lost.resize(wiped_ ? kLostDisks - 1 : kLostDisks);
    for (const std::size_t machine : lost)
      cluster_.WipeDisk(machine);
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      cluster_.Restart(i);
    const Time end = cluster_.now() + kRecovery;
    while (!cluster_.Leader() && cluster_.now() < end)
      cluster_.Run(20ms);
    REQUIRE(cluster_.Leader());
  }

  /// Freezes a voter that doesn't lead, and runs on for `duration`.
  void RunWithFrozenVoter(Duration duration) {
    FreezeVoter();
    cluster_.Run(duration);
  }

  /// Freezes a voter, and ends when the voters have changed to replace it.
  void RunUntilVotersChange() {
    const std::size_t leader = cluster_.Leader().value();
    const auto voters = [&] {
      return cluster_.node(leader)->replica()->configuration().voters;
    };
    const std::vector<std::string> before = voters();
    FreezeVoter();
    const Time end = cluster_.now() + 5s;
    while (voters() == before && cluster_.now() < end)
      cluster_.Run(5ms);
    REQUIRE(voters() != before);
    while (!cluster_.node(leader)->replica()->ConfigurationSettled())
      cluster_.Run(5ms);
    is_grown_ = false;
  }

  const ControlState& state() const {
    return cluster_.node(cluster_.Leader().value())->state();
  }

 private:
  void FreezeVoter() {
    const std::size_t leader = cluster_.Leader().value();
    const std::vector<std::string>& voters =
        cluster_.node(leader)->replica()->configuration().voters;
    std::size_t frozen = leader;
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const std::string& id = cluster_.node(i)->replica_id();
      if (i != leader &&
          std::find(voters.begin(), voters.end(), id) != voters.end())
        frozen = i;
    }
    cluster_.Freeze(frozen, 5s);
  }

  ControlCluster cluster_;
  std::mt19937_64 random_;
  bool is_grown_;
  /// Machine that has lost its disk before the others.
  std::optional<std::size_t> wiped_;
  bool acknowledged_ = false;
  std::optional<protocol::ClaimReply> claim_reply_;
};

}  // namespace

// Pattern: a day's end. Guards against acknowledged settings that only the
// memory of machines holds whose disk isn't lost.
TEST_CASE("Settings outlive a loss of two disks and of all power") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.LosePowerAndDisks();
    const auto* values = group.state().tree().Find("service/a");
    REQUIRE(values != nullptr);
    CHECK(values->at("ttl_ms") == "500");
  }
}

// Guards against a first configuration that only some of the replicas hold,
// because the group is still growing when it is acknowledged.
TEST_CASE("The first settings outlive a loss of two disks and of all power") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Group group(seed, Duration{0});
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.LosePowerAndDisks();
    const auto* values = group.state().tree().Find("service/a");
    REQUIRE(values != nullptr);
    CHECK(values->at("ttl_ms") == "500");
  }
}

// Guards against a group that is weaker for a moment, because a voter that is
// silent, but whose disk is sound, is removed before another takes its place.
TEST_CASE("Settings outlive these losses while a frozen voter is replaced") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.RunUntilVotersChange();
    group.LosePowerAndDisks();
    const auto* values = group.state().tree().Find("service/a");
    REQUIRE(values != nullptr);
    CHECK(values->at("ttl_ms") == "500");
  }
}

// The same at all moments of a replacement: the group has its full number of
// voters all the time.
TEST_CASE("Settings outlive these losses at any moment of a replacement") {
  constexpr Duration kInterval = 10ms;
  constexpr Duration kReplaced = ControlCluster::kReplaceAfter + 400ms;
  std::uint64_t seed = 0;
  for (Duration moment = ControlCluster::kReplaceAfter; moment < kReplaced;
       moment += kInterval) {
    ++seed;
    CAPTURE(seed, ToMillis(moment));
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.RunWithFrozenVoter(moment);
    group.LosePowerAndDisks();
    const auto* values = group.state().tree().Find("service/a");
    REQUIRE(values != nullptr);
    CHECK(values->at("ttl_ms") == "500");
  }
}

// The same at all moments at which the replica of a lost disk is replaced.
TEST_CASE("Settings outlive a second lost disk at any moment after the first") {
  constexpr Duration kInterval = 15ms;
  constexpr Duration kReplaced = 900ms;
  std::uint64_t seed = 0;
  for (Duration moment{0}; moment < kReplaced; moment += kInterval) {
    ++seed;
    CAPTURE(seed, ToMillis(moment));
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.LoseDisk(moment);
    group.Change("service/b", {{"ttl_ms", "600"}});
    group.LosePowerAndDisks();
    for (const auto& [branch, ttl] :
         {std::pair{"service/a", "500"}, std::pair{"service/b", "600"}}) {
      const auto* values = group.state().tree().Find(branch);
      REQUIRE(values != nullptr);
      CHECK(values->at("ttl_ms") == ttl);
    }
  }
}

// The same for evacuations of failure domains.
TEST_CASE("Evacuations outlive a loss of two disks and of all power") {
  const std::string domain = "region/west/failure_domain/west-a";
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    group.Change(domain, {{"drain", "true"}});
    group.LosePowerAndDisks();
    const auto drain = group.state().tree().FindEffectiveValue(domain, "drain");
    REQUIRE(drain);
    CHECK(drain->value == "true");
  }
}

// The same for requests that may run at most once: a resend must not run.
TEST_CASE("Attempts that ran outlive a loss of two disks and of all power") {
  const bool finished = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(finished, seed);
    Group group(seed);
    group.Change("service/a", {{"ttl_ms", "500"}});
    REQUIRE(group.Claim("e1/1/1").verdict == protocol::ClaimVerdict::kGranted);
    if (finished)
      group.Finish("e1/1/1");
    group.LosePowerAndDisks();
    const protocol::ClaimReply resend = group.Claim("e2/1/1");
    CHECK(resend.decided);
    CHECK(resend.verdict != protocol::ClaimVerdict::kGranted);
    if (finished)
      CHECK(resend.verdict == protocol::ClaimVerdict::kRan);
  }
}

}  // namespace jacinth::control
