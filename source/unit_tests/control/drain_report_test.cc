#include <map>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::control {
namespace {

using protocol::ListedEndpoint;
using test::ControlCluster;

ListedEndpoint MakeListed(const std::string& id, std::int64_t started_ms = 1) {
  ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:" + id;
  return endpoint;
}

/// Two entries that send heartbeats to a control group, whose leader reads the
/// platform's list.
struct Fixture {
  Fixture() : cluster(7) {
    cluster.loss_percent = 0;
    cluster.on_entry_message = [this](const std::string& entry,
                                      const protocol::Envelope& envelope) {
      const auto* reply = std::get_if<protocol::HeartbeatReply>(&envelope);
      if (reply != nullptr && reply->leader)
        Apply(entry, *reply);
    };
  }

  void Apply(const std::string& entry, const protocol::HeartbeatReply& reply) {
    if (reply.endpoints.version > versions[entry]) {
      versions[entry] = reply.endpoints.version;
      for (const ListedEndpoint& endpoint : reply.endpoints.changed)
        lists[entry][endpoint.id] = endpoint;
    }
    for (const protocol::SliceOwner& owner : reply.slices.changed)
      owners[entry][owner.slice] = owner.endpoint;
  }

  /// Lets the entries send heartbeats, of which those of "e1" hold `drains`,
  /// and the leader read the list.
  void Run(Duration duration,
           const std::vector<protocol::DrainReport>& drains = {}) {
    const Time end = cluster.now() + duration;
    while (cluster.now() < end) {
      cluster.Run(100ms);
      const auto leader = cluster.Leader();
      if (!leader)
        continue;
      cluster.InjectEvent(*leader, EndpointsListed{listed});
      for (const std::string entry : {"e1", "e2"}) {
        protocol::Heartbeat heartbeat;
        heartbeat.status.id = entry;
        heartbeat.status.incarnation = 1;
        heartbeat.sequence = ++sequence;
        heartbeat.endpoints_version = versions[entry];
        heartbeat.claims = claims;
        if (entry == "e1")
          heartbeat.drains = drains;
        cluster.SendFromEntry(entry, *leader, heartbeat);
      }
    }
  }

  ControlCluster cluster;
  std::vector<ListedEndpoint> listed = {MakeListed("1"), MakeListed("2")};
  std::vector<protocol::SliceClaim> claims;
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint64_t> versions;
  std::map<std::string, std::map<std::string, ListedEndpoint>> lists;
  std::map<std::string, std::map<std::uint32_t, std::string>> owners;
};

const protocol::DrainReport kReport{"1", "10.0.0.1:1", 1};

}  // namespace

// Guards against entries that go on sending to an endpoint of which another one
// knows that it leaves.
TEST_CASE_METHOD(
    Fixture,
    "A drain that one entry reports reaches all entries, takes the "
    "endpoint's slices, and ends with the process") {
  claims = {{{"s", 7, "1"}, protocol::SliceClaimReason::kNoOwner}};
  Run(2s);
  REQUIRE(lists["e2"].count("1") == 1);
  CHECK_FALSE(lists["e2"]["1"].draining);
  CHECK(owners["e2"][7] == "1");
  claims.clear();
  Run(500ms, {kReport});
  CHECK(lists["e1"]["1"].draining);
  CHECK(lists["e2"]["1"].draining);
  CHECK_FALSE(lists["e2"]["2"].draining);
  CHECK(owners["e2"][7].empty());
  SECTION("listed again") {
    Run(1s);
    CHECK(lists["e2"]["1"].draining);
  }
  SECTION("a new leader") {
    cluster.Crash(*cluster.Leader());
    lists.clear();
    versions.clear();
    Run(3s, {kReport});
    REQUIRE(lists["e2"].count("1") == 1);
    CHECK(lists["e2"]["1"].draining);
  }
  SECTION("a restarted entry") {
    lists.erase("e2");
    versions.erase("e2");
    Run(500ms);
    REQUIRE(lists["e2"].count("1") == 1);
    CHECK(lists["e2"]["1"].draining);
  }
  SECTION("started again") {
    listed = {MakeListed("1", 2), MakeListed("2")};
    Run(500ms, {kReport});
    CHECK_FALSE(lists["e2"]["1"].draining);
  }
}

TEST_CASE_METHOD(Fixture,
                 "A report of another process or of an unknown start time "
                 "drains nothing") {
  listed = {MakeListed("1", 0), MakeListed("2")};
  Run(2s, {{"1", "10.0.0.1:1", 0},
           {"2", "10.0.0.1:2", 9},
           {"2", "10.0.0.9:2", 1},
           {"3", "10.0.0.1:3", 1}});
  REQUIRE(lists["e2"].size() == 2);
  CHECK_FALSE(lists["e2"]["1"].draining);
  CHECK_FALSE(lists["e2"]["2"].draining);
}

}  // namespace jacinth::control
