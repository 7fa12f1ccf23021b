#include <map>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/process_fleet.h"
#include "unit_tests/support/stalling_proxy.h"

namespace jacinth {
namespace {

using test::ProcessFleet;
using test::StallingProxy;

}  // namespace

TEST_CASE(
    "Links that stop carrying data without a reset are replaced by new ones") {
  ProcessFleet fleet(1, 1);
  std::map<std::string, std::unique_ptr<StallingProxy>> proxies;
  for (const std::string& replica : ProcessFleet::ReplicaIds()) {
    proxies[replica] = std::make_unique<StallingProxy>(fleet.PeerPort(replica));
    fleet.OverridePeerPort("e1", replica, proxies[replica]->port());
    for (const std::string& other : ProcessFleet::ReplicaIds()) {
      // A replica keeps its real address, because it listens on it. Only the
      // other instances connect through the proxy.
      if (other != replica)
        fleet.OverridePeerPort(other, replica, proxies[replica]->port());
    }
  }
  fleet.StartAll();
  fleet.ApplySettingsTree();
  for (const auto& [replica, proxy] : proxies)
    proxy->StallOpenConnections();
  // All links that were open now drop all data and are not reset.
  const std::uint64_t new_revision = fleet.SetTtl(333, "after-silence");
  REQUIRE(new_revision == 2);
  CHECK(ProcessFleet::WaitFor(
      [&] { return fleet.EntryRevision(0) == new_revision; },
      ProcessFleet::kInForceTarget));
  CHECK(ProcessFleet::WaitFor(
      [&] { return fleet.Post(0, "/order", "k").outcome == "ran"; },
      ProcessFleet::kInForceTarget));
}

TEST_CASE(
    "A repeatable request succeeds after its connection to an endpoint "
    "stalls") {
  ProcessFleet fleet(1, 1);
  StallingProxy proxy(fleet.endpoint(0).port());
  fleet.StartAll();
  fleet.ApplySettingsTree();
  const std::string branch = "service/s/endpoint/p0";
  const http::Response response =
      fleet.PutSettings(fleet.FindLeader().value(), branch,
                        "address = 127.0.0.1:" + std::to_string(proxy.port()) +
                            "\nregion = west\nfailure_domain = west-a\n",
                        1, "reroute");
  REQUIRE(response.status == 200);
  REQUIRE(ProcessFleet::WaitFor([&] { return fleet.EntryRevision(0) == 2; },
                                ProcessFleet::kInForceTarget));
  REQUIRE(fleet.Get(0, "/look").outcome == "ran");
  proxy.StallOpenConnections();
  // The attempt on the open connection gets no answer, so the request is sent
  // again on a new connection.
  CHECK(fleet.Get(0, "/look").outcome == "ran");
}

}  // namespace jacinth
