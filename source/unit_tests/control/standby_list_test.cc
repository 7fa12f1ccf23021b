#include "core/control/standby_list.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

constexpr Time kNow{1000s};

std::vector<protocol::ListedEndpoint> MakeList(int draining) {
  std::vector<protocol::ListedEndpoint> list;
  for (int i = 0; i < 900; ++i) {
    protocol::ListedEndpoint endpoint;
    endpoint.id = "i-" + std::to_string(i);
    endpoint.started_ms = 1;
    endpoint.address = "10.0.0.1:" + std::to_string(i);
    endpoint.draining = i < draining;
    list.push_back(std::move(endpoint));
  }
  return list;
}

std::string DigestOf(const std::vector<protocol::ListedEndpoint>& list) {
  protocol::TableDigest digest = protocol::MakeEndpointDigest();
  for (const protocol::ListedEndpoint& endpoint : list) {
    digest.Add(protocol::EndpointPart(endpoint.id),
               protocol::EndpointItemHash(endpoint));
  }
  return digest.ToBytes();
}

protocol::Heartbeat MakeQuestion(const std::string& entry) {
  protocol::Heartbeat question;
  question.status.id = entry;
  return question;
}

}  // namespace

// Guards against links of entries that are filled with what these know.
TEST_CASE("An entry is told of the drains that its list lacks") {
  StandbyList standby;
  standby.ApplyListing(MakeList(400), kNow);
  CHECK(standby.DrainsFor(DigestOf(MakeList(400))).empty());
  CHECK(standby.DrainsFor("").size() == 400);
  const auto drains = standby.DrainsFor(DigestOf(MakeList(399)));
  const protocol::DrainReport lacking{"i-399", "10.0.0.1:399", 1};
  CHECK(std::count(drains.begin(), drains.end(), lacking) == 1);
  CHECK(drains.size() < 30);
}

TEST_CASE("An endpoint of unknown start time is not reported to drain") {
  StandbyList standby;
  auto list = MakeList(1);
  list[0].started_ms = 0;
  standby.ApplyListing(list, kNow);
  CHECK(standby.DrainsFor("").empty());
}

// Guards against entries that take what they are told for more current than it
// is, or for complete.
TEST_CASE("An entry is told the age of the reading when it asked") {
  StandbyList standby;
  const std::string digest = DigestOf(MakeList(0));
  CHECK_FALSE(standby.StateAt(kNow, digest));
  auto list = MakeList(1);
  standby.ApplyListing(list, kNow);
  CHECK(standby.StateAt(kNow + 400ms, digest)->age_ms == 400);
  CHECK(standby.StateAt(kNow - 100ms, digest)->age_ms == 0);
  CHECK(standby.StateAt(kNow, digest)->version == 0);
  list[0].started_ms = 0;
  standby.ApplyListing(list, kNow);
  CHECK_FALSE(standby.StateAt(kNow, digest));
  CHECK_FALSE(standby.StateAt(kNow, ""));
}

// Guards against replicas that vouch for nothing, to nobody, as long as one
// endpoint drains whose start time is unknown.
TEST_CASE("An entry that knows of unreported drains is told the age") {
  StandbyList standby;
  auto list = MakeList(2);
  list[0].started_ms = 0;
  standby.ApplyListing(list, kNow);
  // The other drain can be reported, so that the entry needn't know of it.
  auto known = list;
  known[1].draining = false;
  CHECK(standby.StateAt(kNow + 400ms, DigestOf(known))->age_ms == 400);
  known[0].draining = false;
  CHECK_FALSE(standby.StateAt(kNow, DigestOf(known)));
  standby.ApplyListing(MakeList(2), kNow);
  CHECK(standby.StateAt(kNow, DigestOf(known)));
}

TEST_CASE("Entries that asked long ago are told no more") {
  StandbyList standby;
  standby.OnAsked(MakeQuestion("e1"), kNow);
  standby.OnAsked(MakeQuestion("e2"), kNow + 2s);
  CHECK(standby.Askers(kNow + 2s).size() == 2);
  CHECK(standby.Askers(kNow + 3s).size() == 1);
  CHECK(standby.TakeReading(kNow));
  CHECK_FALSE(standby.TakeReading(kNow + 400ms));
  CHECK(standby.TakeReading(kNow + 500ms));
}

}  // namespace jacinth::control
