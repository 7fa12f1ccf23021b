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
bool WaitForLeader(ProcessFleet& fleet) {
  return ProcessFleet::WaitFor([&] { return fleet.FindLeader().has_value(); },
                               ProcessFleet::kInForceTarget);
}

// Returns true if the replica is a voter under the incarnation that its current
// disk stores, and the configuration that makes it a voter is committed.
bool HasRejoinedAsVoter(ProcessFleet& fleet, const std::string& lost_replica) {
  std::string incarnation;
  std::ifstream(fleet.DataFolder(lost_replica) + "/incarnation") >> incarnation;
  if (incarnation.empty())
    return false;
  for (const std::string& replica : ProcessFleet::ReplicaIds()) {
    const http::Response response = fleet.AdminGet(replica, "/v1/members");
    if (response.status != 200)
      continue;
    const auto members = nlohmann::json::parse(response.body);
    for (const auto& member : members["replicas"]) {
      if (member["id"] == lost_replica + "#" + incarnation)
        return member["voter"] == true && members["replicas_settled"] == true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE(
    "Accepted changes survive SIGKILL of any replica and are never reverted") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  std::mt19937 random(kSeed);
  std::uint64_t last_revision = 1;
  std::uint64_t previous_entry_revision = 0;
  constexpr int kChanges = 200;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t new_revision =
        fleet.SetTtl(300 + i, "change-" + std::to_string(i));
    REQUIRE(new_revision == last_revision + 1);
    last_revision = new_revision;
    const std::uint64_t entry_revision = fleet.EntryRevision(0);
    REQUIRE(entry_revision >= previous_entry_revision);
    previous_entry_revision = entry_revision;
    if (i % 20 != 10)
      continue;
    const std::string killed_replica = ProcessFleet::ReplicaIds()[random() % 3];
    fleet.process(killed_replica).Kill();
    if (i % 40 == 10)
      REQUIRE(fleet.SetTtl(300, "while-down-" + std::to_string(i)) ==
              ++last_revision);
    fleet.Start(killed_replica);
  }
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return fleet.EntryRevision(0) == last_revision; },
      ProcessFleet::kInForceTarget));
  // Restart all replicas at once, so that the state is recovered from the disks
  // alone.
  for (const std::string& replica : ProcessFleet::ReplicaIds())
    fleet.process(replica).Kill();
  for (const std::string& replica : ProcessFleet::ReplicaIds())
    fleet.Start(replica);
  REQUIRE(WaitForLeader(fleet));
  CHECK(fleet.CurrentRevision() == last_revision);
}

TEST_CASE(
    "A leader frozen past its lease returns no stale settings when it "
    "resumes") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  const std::string old_leader = fleet.FindLeader().value();
  fleet.process(old_leader).Signal(SIGSTOP);
  // The other replicas accept a change while the leader is frozen.
  std::uint64_t new_revision = 0;
  REQUIRE(ProcessFleet::WaitFor(
      [&] {
        for (const std::string& replica : ProcessFleet::ReplicaIds()) {
          if (replica == old_leader)
            continue;
          if (fleet
                  .PutSettings(replica, "service/s/region/west",
                               "ttl_ms = 777\n", 1, "without")
                  .status == 200) {
            new_revision = 2;
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
  CHECK(fleet.CurrentRevision() == new_revision);
}

TEST_CASE(
    "A replica that lost its disk rejoins as a voter, so that another can "
    "fail") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  for (int i = 0; i < 5; ++i)
    REQUIRE(fleet.SetTtl(400 + i, "a" + std::to_string(i)) != 0);
  const std::string leader = fleet.FindLeader().value();
  std::string lost_replica;
  std::string other_replica;
  for (const std::string& replica : ProcessFleet::ReplicaIds()) {
    if (replica == leader)
      continue;
    (lost_replica.empty() ? lost_replica : other_replica) = replica;
  }
  fleet.process(lost_replica).Kill();
  std::filesystem::remove_all(fleet.DataFolder(lost_replica));
  fleet.Start(lost_replica);
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return HasRejoinedAsVoter(fleet, lost_replica); },
      ProcessFleet::kInForceTarget));
  fleet.process(other_replica).Kill();
  const std::uint64_t revision_before = fleet.CurrentRevision().value_or(0);
  CHECK(revision_before == 6);
  CHECK(fleet.SetTtl(500, "after") == revision_before + 1);
}

TEST_CASE(
    "Exactly one of several concurrent changes to the same revision is "
    "accepted") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  const std::string leader = fleet.FindLeader().value();
  constexpr int kOperators = 8;
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint64_t revision = fleet.CurrentRevision().value();
    std::vector<std::thread> operators;
    operators.reserve(kOperators);
    std::array<int, kOperators> status{};
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back([&, i] {
        const std::string key = std::to_string(round) + "-" + std::to_string(i);
        status[i] =
            fleet
                .PutSettings(leader, "service/s/region/west",
                             "ttl_ms = " + std::to_string(500 + i) + "\n",
                             revision, key)
                .status;
      });
    }
    for (std::thread& thread : operators)
      thread.join();
    const auto accepted_count = std::count(status.begin(), status.end(), 200);
    const auto conflict_count = std::count(status.begin(), status.end(), 409);
    REQUIRE(accepted_count == 1);
    REQUIRE(conflict_count == kOperators - 1);
    REQUIRE(fleet.CurrentRevision() == revision + 1);
  }
}

TEST_CASE("A change sent again after a lost answer gets the recorded answer") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  const std::uint64_t new_revision = fleet.SetTtl(450, "once");
  REQUIRE(new_revision == 2);
  REQUIRE(fleet.SetTtl(460, "later") == 3);
  // The next leader returns the same answer.
  fleet.process(fleet.FindLeader().value()).Kill();
  REQUIRE(WaitForLeader(fleet));
  const http::Response resent =
      fleet.PutSettings(fleet.FindLeader().value(), "service/s/region/west",
                        "ttl_ms = 450\n", 1, "once");
  CHECK(resent.status == 200);
  CHECK(resent.body.find("\"revision\": 2") != std::string::npos);
  CHECK(fleet.CurrentRevision() == 3);
}

}  // namespace jacinth
