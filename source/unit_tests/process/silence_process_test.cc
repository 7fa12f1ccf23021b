#include <map>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/support/process_fleet.h"
#include "unit_tests/support/silent_relay.h"

namespace jacinth {
namespace {

using test::ProcessFleet;
using test::SilentRelay;

}  // namespace

TEST_CASE(
    "Links that stop carrying data without a reset are replaced by new ones") {
  ProcessFleet fleet(1, 1);
  std::map<std::string, std::unique_ptr<SilentRelay>> relays;
  for (const std::string& replica : ProcessFleet::Replicas()) {
    relays[replica] = std::make_unique<SilentRelay>(fleet.PeerPort(replica));
    fleet.Reroute("e1", replica, relays[replica]->port());
    for (const std::string& other : ProcessFleet::Replicas()) {
      // A replica keeps its real address, because it listens on it. Only the
      // other instances connect through the relay.
      if (other != replica)
        fleet.Reroute(other, replica, relays[replica]->port());
    }
  }
  fleet.StartAll();
  fleet.ApplyTree();
  for (const auto& [replica, relay] : relays)
    relay->GoSilent();
  // All links that were open now drop all data and are not reset.
  const std::uint64_t made = fleet.Change(333, "after-silence");
  REQUIRE(made == 2);
  CHECK(ProcessFleet::WaitFor([&] { return fleet.EntryRevision(0) == made; },
                              ProcessFleet::kInForceTarget));
  CHECK(ProcessFleet::WaitFor(
      [&] { return fleet.Post(0, "/order", "k").outcome == "ran"; },
      ProcessFleet::kInForceTarget));
}

TEST_CASE(
    "A repeatable request succeeds after its connection to an endpoint "
    "stalls") {
  ProcessFleet fleet(1, 1);
  SilentRelay relay(fleet.endpoint(0).port());
  fleet.StartAll();
  fleet.ApplyTree();
  const std::string branch = "service/s/endpoint/p0";
  const http::Response moved =
      fleet.Put(fleet.LeaderId().value(), branch,
                "address = 127.0.0.1:" + std::to_string(relay.port()) +
                    "\nregion = west\nfailure_domain = west-a\n",
                1, "reroute");
  REQUIRE(moved.status == 200);
  REQUIRE(ProcessFleet::WaitFor([&] { return fleet.EntryRevision(0) == 2; },
                                ProcessFleet::kInForceTarget));
  REQUIRE(fleet.Get(0, "/look").outcome == "ran");
  relay.GoSilent();
  // The attempt on the open connection gets no answer, so the request is sent
  // again on a new connection.
  CHECK(fleet.Get(0, "/look").outcome == "ran");
}

}  // namespace jacinth
