#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "unit_tests/support/process_fleet.h"

namespace jacinth {
namespace {

using test::ProcessFleet;

constexpr std::uint32_t kSeed = 20261204;

// Waits until a replica answers as the leader.
bool HasLeader(ProcessFleet& fleet) {
  return ProcessFleet::WaitFor([&] { return fleet.LeaderId().has_value(); },
                               ProcessFleet::kInForceTarget);
}

// Returns true if the replica is a voter under the incarnation stored on its
// current disk and the configuration with this voter is committed.
bool IsRepaired(ProcessFleet& fleet, const std::string& lost) {
  std::string incarnation;
  std::ifstream(fleet.DataFolder(lost) + "/incarnation") >> incarnation;
  if (incarnation.empty())
    return false;
  for (const std::string& replica : ProcessFleet::Replicas()) {
    const http::Response response = fleet.AdminGet(replica, "/v1/members");
    if (response.status != 200)
      continue;
    const auto members = nlohmann::json::parse(response.body);
    for (const auto& row : members["replicas"]) {
      if (row["id"] == lost + "#" + incarnation)
        return row["voter"] == true && members["replicas_settled"] == true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE(
    "Accepted changes survive SIGKILL of any replica and are never reverted") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplyTree();
  std::mt19937 random(kSeed);
  std::uint64_t last = 1;
  std::uint64_t in_force = 0;
  constexpr int kChanges = 200;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t made =
        fleet.Change(300 + i, "change-" + std::to_string(i));
    REQUIRE(made == last + 1);
    last = made;
    const std::uint64_t seen = fleet.EntryRevision(0);
    REQUIRE(seen >= in_force);
    in_force = seen;
    if (i % 20 != 10)
      continue;
    const std::string victim = ProcessFleet::Replicas()[random() % 3];
    fleet.process(victim).Kill();
    if (i % 40 == 10)
      REQUIRE(fleet.Change(300, "while-down-" + std::to_string(i)) == ++last);
    fleet.Start(victim);
  }
  REQUIRE(ProcessFleet::WaitFor([&] { return fleet.EntryRevision(0) == last; },
                                ProcessFleet::kInForceTarget));
  // Restart all replicas at once, so that the state is recovered from the disks
  // alone.
  for (const std::string& replica : ProcessFleet::Replicas())
    fleet.process(replica).Kill();
  for (const std::string& replica : ProcessFleet::Replicas())
    fleet.Start(replica);
  REQUIRE(HasLeader(fleet));
  CHECK(fleet.CurrentRevision() == last);
}

TEST_CASE(
    "A leader frozen past its lease returns no stale settings when it "
    "resumes") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplyTree();
  const std::string old_leader = fleet.LeaderId().value();
  fleet.process(old_leader).Signal(SIGSTOP);
  // The other replicas accept a change while the leader is frozen.
  std::uint64_t made = 0;
  REQUIRE(ProcessFleet::WaitFor(
      [&] {
        for (const std::string& replica : ProcessFleet::Replicas()) {
          if (replica == old_leader)
            continue;
          if (fleet
                  .Put(replica, "service/s/region/west", "ttl_ms = 777\n", 1,
                       "without")
                  .status == 200) {
            made = 2;
            return true;
          }
        }
        return false;
      },
      ProcessFleet::kInForceTarget));
  fleet.process(old_leader).Signal(SIGCONT);
  // From its first answer on, the old leader either refuses the call or returns
  // the new value.
  for (int i = 0; i < 100; ++i) {
    const http::Response response =
        fleet.AdminGet(old_leader, "/v1/settings/service/s/region/west");
    if (response.status == 200)
      REQUIRE(response.body.find("777") != std::string::npos);
  }
  CHECK(fleet.CurrentRevision() == made);
}

TEST_CASE(
    "A replica rejoins after its disk is lost, so that another one may fail") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplyTree();
  for (int i = 0; i < 5; ++i)
    REQUIRE(fleet.Change(400 + i, "a" + std::to_string(i)) != 0);
  const std::string leader = fleet.LeaderId().value();
  std::string lost;
  std::string second;
  for (const std::string& replica : ProcessFleet::Replicas()) {
    if (replica == leader)
      continue;
    (lost.empty() ? lost : second) = replica;
  }
  fleet.process(lost).Kill();
  std::filesystem::remove_all(fleet.DataFolder(lost));
  fleet.Start(lost);
  REQUIRE(ProcessFleet::WaitFor([&] { return IsRepaired(fleet, lost); },
                                ProcessFleet::kInForceTarget));
  fleet.process(second).Kill();
  const std::uint64_t before = fleet.CurrentRevision().value_or(0);
  CHECK(before == 6);
  CHECK(fleet.Change(500, "after") == before + 1);
}

TEST_CASE(
    "Exactly one of several concurrent changes to the same revision is "
    "accepted") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplyTree();
  const std::string leader = fleet.LeaderId().value();
  constexpr int kOperators = 8;
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint64_t revision = fleet.CurrentRevision().value();
    std::vector<std::thread> operators;
    operators.reserve(kOperators);
    std::array<int, kOperators> status{};
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back([&, i] {
        const std::string name =
            std::to_string(round) + "-" + std::to_string(i);
        status[i] = fleet
                        .Put(leader, "service/s/region/west",
                             "ttl_ms = " + std::to_string(500 + i) + "\n",
                             revision, name)
                        .status;
      });
    }
    for (std::thread& thread : operators)
      thread.join();
    const auto won = std::count(status.begin(), status.end(), 200);
    const auto lost = std::count(status.begin(), status.end(), 409);
    REQUIRE(won == 1);
    REQUIRE(lost == kOperators - 1);
    REQUIRE(fleet.CurrentRevision() == revision + 1);
  }
}

TEST_CASE("A change sent again after a lost answer gets the recorded answer") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplyTree();
  const std::uint64_t made = fleet.Change(450, "once");
  REQUIRE(made == 2);
  REQUIRE(fleet.Change(460, "later") == 3);
  // The next leader returns the same answer.
  fleet.process(fleet.LeaderId().value()).Kill();
  REQUIRE(HasLeader(fleet));
  const http::Response again =
      fleet.Put(fleet.LeaderId().value(), "service/s/region/west",
                "ttl_ms = 450\n", 1, "once");
  CHECK(again.status == 200);
  CHECK(again.body.find("\"revision\": 2") != std::string::npos);
  CHECK(fleet.CurrentRevision() == 3);
}

}  // namespace jacinth
