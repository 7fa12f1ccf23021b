#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"
#include "unit_tests/support/listing_fleet.h"

namespace jacinth::entry {
namespace {

using protocol::HeartbeatReply;
using test::ListingFleet;

/// `config_propagation_ms` of the users' deployment of 185 entries.
constexpr Duration kPropagation = 3s;
/// The same on small deployments, which have the lower bound.
constexpr Duration kSmallPropagation = 2500ms;
constexpr std::uint64_t kSeeds = 6;
/// Added routes whose settings fill one piece, and its size.
constexpr int kRoutesPerPiece = 2'000;
constexpr std::size_t kPieceBytes = 48UL * 1024;

const std::vector<protocol::BranchChange> kChange = {
    {"region/west/failure_domain/west-b", {{"drain", "true"}}}};

std::vector<protocol::BranchChange> AddedRoutes(int count) {
  std::vector<protocol::BranchChange> changes;
  changes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::uint64_t>(i);
    changes.push_back(
        {"route/r-" + std::to_string(i),
         {{"host", "host" + std::to_string(i % 7) + ".example"},
          {"path_prefix", "/" + std::to_string(Hash64("path", index)) + "/"},
          {"execution", "repeatable"},
          {"service", "s"},
          {"request_timeout_ms", "1200"}}});
  }
  return changes;
}

std::size_t MaxBytes(int pieces) {
  return static_cast<std::size_t>(pieces) * kPieceBytes *
         ListingFleet::kEntries;
}

bool IsFromLeader(const std::string& /*entry*/, const HeartbeatReply& reply) {
  return reply.leader;
}

}  // namespace

// Guards against a large change that comes late because each of its pieces is
// asked for by a timer while the leader's messages are lost.
TEST_CASE("A change of several pieces is in force without the leader") {
  const int pieces = GENERATE(1, 2, 4, 8);
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(pieces, seed);
    ListingFleet fleet(seed);
    fleet.loses = IsFromLeader;
    fleet.Change(AddedRoutes(pieces * kRoutesPerPiece));
    const std::size_t before = fleet.settings_bytes;
    const Duration passed = fleet.RunUntilSettings(kPropagation + 1s);
    CAPTURE(ToMillis(passed));
    CHECK(passed <= kPropagation);
    // No piece is sent to an entry in vain.
    CHECK(fleet.settings_bytes - before <= MaxBytes(pieces));
  }
}

// Guards against pieces that are asked for again while they are on their way,
// and fill a narrow link.
TEST_CASE("Pieces that come late from a replica are sent once") {
  const Duration delay = GENERATE(300ms, 600ms, 900ms);
  constexpr int kPieces = 4;
  CAPTURE(delay.count());
  ListingFleet fleet(1);
  fleet.entry_delay = delay;
  fleet.Run(3s);
  fleet.loses = IsFromLeader;
  fleet.Change(AddedRoutes(kPieces * kRoutesPerPiece));
  const std::size_t before = fleet.settings_bytes;
  fleet.RunUntilSettings(15s);
  CHECK(fleet.AllHoldSettings());
  CHECK(fleet.settings_bytes - before <= MaxBytes(kPieces));
}

// Guards against a large change that comes late because pieces of it are lost.
TEST_CASE("A change of several pieces is in force though pieces are lost") {
  const int first_lost = GENERATE(1, 2, 3);
  constexpr int kPieces = 4;
  constexpr int kLosses = 2;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(first_lost, seed);
    ListingFleet fleet(seed);
    std::map<std::string, int> sent;
    fleet.loses = [&](const std::string& entry, const HeartbeatReply& reply) {
      if (reply.leader)
        return true;
      if (reply.settings_piece.position.revision == 0)
        return false;
      const int number = ++sent[entry];
      return number >= first_lost && number < first_lost + kLosses;
    };
    fleet.Change(AddedRoutes(kPieces * kRoutesPerPiece));
    const Duration passed = fleet.RunUntilSettings(kPropagation + 1s);
    CAPTURE(ToMillis(passed));
    CHECK(passed <= kPropagation);
  }
}

// Guards against requests that are decided by replaced settings because the
// first replicas that are asked don't answer or don't know of the change.
TEST_CASE("A change is in force without the leader and two replicas") {
  const bool lag = GENERATE(false, true);
  const std::size_t first = GENERATE(1, 2, 3, 4);
  const std::size_t second = GENERATE(1, 2, 3, 4);
  if (first >= second)
    return;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(lag, first, second, seed);
    ListingFleet fleet(seed);
    for (const std::size_t step : {first, second}) {
      const std::size_t replica =
          (fleet.Leader() + step) % ListingFleet::kReplicas;
      if (lag)
        fleet.CutReplica(replica);
      else
        fleet.Crash(replica);
    }
    fleet.loses = IsFromLeader;
    fleet.Change(kChange);
    const Duration passed = fleet.RunUntilSettings(kSmallPropagation + 1s);
    CAPTURE(ToMillis(passed));
    CHECK(passed <= kSmallPropagation);
  }
}

// Guards against requests that are decided by replaced settings because two
// questions in a row, or their answers, are lost.
TEST_CASE("A change is in force without the leader though messages are lost") {
  enum class Lost { kQuestions, kAnswers, kPieces };
  const Lost lost = GENERATE(Lost::kQuestions, Lost::kAnswers, Lost::kPieces);
  constexpr int kLosses = 2;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(static_cast<int>(lost), seed);
    ListingFleet fleet(seed);
    std::map<std::string, int> losses;
    const std::size_t leader = fleet.Leader();
    fleet.loses = [&](const std::string& entry, const HeartbeatReply& reply) {
      const bool is_piece = reply.settings_piece.position.revision != 0;
      const bool matches =
          lost == Lost::kAnswers || (lost == Lost::kPieces && is_piece);
      return reply.leader || (matches && ++losses[entry] <= kLosses);
    };
    fleet.loses_question = [&](std::size_t machine,
                               const protocol::Heartbeat& message) {
      const bool matches = lost == Lost::kQuestions && machine != leader &&
                           message.lacks_settings;
      return matches && ++losses[message.status.id] <= kLosses;
    };
    fleet.Change(kChange);
    const Duration passed = fleet.RunUntilSettings(kSmallPropagation + 1s);
    CAPTURE(ToMillis(passed));
    CHECK(passed <= kSmallPropagation);
    CHECK(losses.size() == ListingFleet::kEntries);
  }
}

}  // namespace jacinth::entry
