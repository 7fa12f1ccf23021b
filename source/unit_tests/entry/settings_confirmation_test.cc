#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/listing_fleet.h"

namespace jacinth::entry {
namespace {

using protocol::HeartbeatReply;
using test::ListingFleet;

enum class Fault { kNone, kFreeze, kCrash, kCut, kFreezeAndCut };

constexpr std::uint64_t kSeeds = 40;
constexpr int kRounds = 6;

/// A fleet whose leaders fail while settings change.
class FaultyFleet {
 public:
  explicit FaultyFleet(std::uint64_t seed) : random_(seed), fleet_(seed) {
    fleet_.loses = [this](const std::string& /*entry*/,
                          const HeartbeatReply& reply) {
      const int percent = reply.leader ? loss_percent_ : loss_percent_ / 2;
      return Random(100) < percent;
    };
  }

  /// Lets the leader fail, changes settings at the next one, and ends the
  /// fault.
  void PlayRound() {
    loss_percent_ = Random(2) == 0 ? 0 : 40;
    fleet_.SetSyncTime(Random(2) == 0 ? 5ms : 200ms);
    // The other replicas don't know yet that it is committed.
    if (Random(2) == 0)
      Change();
    const std::size_t leader = fleet_.Leader();
    const auto fault = static_cast<Fault>(Random(5));
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kFreeze:
        fleet_.FreezeLeader(std::chrono::milliseconds(1'500 + Random(2'000)));
        break;
      case Fault::kCrash:
        fleet_.CrashLeader();
        break;
      case Fault::kCut:
        fleet_.CutReplica(leader);
        break;
      case Fault::kFreezeAndCut:
        // Wakes without having heard of the next leader.
        fleet_.FreezeLeader(std::chrono::milliseconds(1'500 + Random(2'000)));
        fleet_.CutReplica(leader);
        break;
    }
    Run(std::chrono::milliseconds(10 * Random(30)));
    while (!fleet_.HasLeader() ||
           (fault != Fault::kNone && fleet_.Leader() == leader))
      Run(ListingFleet::kStep);
    Change();
    Run(std::chrono::milliseconds(10 * Random(300)));
    fleet_.Heal();
    Run(1s);
    while (!fleet_.HasLeader())
      Run(ListingFleet::kStep);
  }

  bool AllHoldSettings() {
    loss_percent_ = 0;
    Run(5s);
    return fleet_.AllHoldSettings();
  }

 private:
  int Random(int end) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(end));
  }

  void Change() {
    fleet_.Change({{"service/s", {{"ttl_ms", std::to_string(++ttl_ms_)}}}});
  }

  void Run(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += ListingFleet::kStep) {
      fleet_.Run(ListingFleet::kStep);
      REQUIRE(fleet_.FindOverconfident().empty());
    }
  }

  std::mt19937_64 random_;
  ListingFleet fleet_;
  int loss_percent_ = 0;
  int ttl_ms_ = 500;
};

}  // namespace

// Guards against an entry that takes its settings for the newest on the word of
// a leader that hasn't applied all changes yet, or whose lease has lapsed.
TEST_CASE("Settings don't count as the newest once newer ones are in force") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    FaultyFleet fleet(seed);
    for (int round = 0; round < kRounds; ++round)
      fleet.PlayRound();
    CHECK(fleet.AllHoldSettings());
  }
}

}  // namespace jacinth::entry
