#include "core/forwarding/link_monitor.h"

#include <set>

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

std::vector<LinkCandidate> MakeCandidates() {
  std::vector<LinkCandidate> candidates;
  candidates.reserve(12);
  for (int i = 0; i < 12; ++i) {
    candidates.push_back(
        {"s", "p" + std::to_string(i), "domain-" + std::to_string(i % 3)});
  }
  return candidates;
}

void FailEndpoints(LinkMonitor& links, int count) {
  links.SetEndpointCount(MakeCandidates().size());
  for (int i = 0; i < count; ++i)
    links.OnFailure("p" + std::to_string(i), kNow);
}

}  // namespace

TEST_CASE(
    "The links are lost once several endpoints failed and no probe of "
    "others connects") {
  LinkMonitor links;
  FailEndpoints(links, 2);
  CHECK(links.state() == LinkState::kConnected);
  CHECK_FALSE(links.WantsProbes(kNow));
  FailEndpoints(links, 3);
  CHECK(links.state() == LinkState::kSuspected);
  REQUIRE(links.WantsProbes(kNow));
  const auto probed = links.SelectProbes(MakeCandidates(), 1, kNow);
  REQUIRE(probed.size() >= 3);
  std::set<std::string> domains;
  for (const LinkCandidate& candidate : probed)
    domains.insert(candidate.failure_domain);
  CHECK(domains.size() == 3);
  SECTION("all probes fail") {
    for (std::size_t i = 0; i < probed.size(); ++i) {
      CHECK(links.state() == LinkState::kSuspected);
      links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    }
    CHECK(links.state() == LinkState::kLost);
    CHECK_FALSE(links.WantsProbes(kNow + 100ms));
    REQUIRE(links.WantsProbes(kNow + 500ms));
    links.SelectProbes(MakeCandidates(), 2, kNow + 500ms);
    links.OnProbeEnd(LinkProbeEnd::kConnected, kNow);
    CHECK(links.state() == LinkState::kConnected);
  }
  // Guards against handing over requests because the links are overloaded,
  // which takes twice the bytes of serving them.
  SECTION("probes don't respond, but requests are still answered") {
    links.OnAnswer(kNow - 500ms);
    for (std::size_t i = 0; i < probed.size(); ++i)
      links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    CHECK(links.state() == LinkState::kSuspected);
    CHECK(links.WantsProbes(kNow + 500ms));
  }
  SECTION("all probes are refused, while open connections live on") {
    links.OnAnswer(kNow);
    for (std::size_t i = 0; i < probed.size(); ++i)
      links.OnProbeEnd(LinkProbeEnd::kRefused, kNow);
    CHECK(links.state() == LinkState::kLost);
  }
  SECTION("all probes connect and go without a response") {
    for (std::size_t i = 0; i < probed.size(); ++i)
      links.OnProbeEnd(LinkProbeEnd::kSilent, kNow);
    CHECK(links.state() == LinkState::kLost);
    CHECK(links.is_silent());
    // Another connection without a response shows nothing new.
    links.OnProbeEnd(LinkProbeEnd::kSilent, kNow + 500ms);
    CHECK(links.state() == LinkState::kLost);
    links.OnProbeEnd(LinkProbeEnd::kConnected, kNow + 500ms);
    CHECK(links.state() == LinkState::kConnected);
  }
  // Guards against staying isolated because all endpoints are too busy to
  // answer probes.
  SECTION("links that opened no connections are restored once they do") {
    for (std::size_t i = 0; i < probed.size(); ++i)
      links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    CHECK(links.state() == LinkState::kLost);
    links.OnProbeEnd(LinkProbeEnd::kSilent, kNow + 500ms);
    CHECK(links.state() == LinkState::kConnected);
  }
  // Guards against handing over all requests because some endpoints crashed.
  SECTION("one probe connects") {
    links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    links.OnProbeEnd(LinkProbeEnd::kConnected, kNow);
    links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    links.OnProbeEnd(LinkProbeEnd::kNoResponse, kNow);
    CHECK(links.state() == LinkState::kConnected);
  }
}

// Guards against links that open connections but carry no responses, which
// look like slow endpoints until the requests time out.
TEST_CASE(
    "Several endpoints that owe answers for a while cast doubt on the "
    "links") {
  LinkMonitor links;
  links.SetEndpointCount(12);
  for (const Duration later : {0ms, 400ms, 800ms})
    links.OnSent(kNow + later);
  links.CheckSilence(kNow + 900ms);
  CHECK(links.state() == LinkState::kConnected);
  SECTION("if none has answered") {
    links.CheckSilence(kNow + 1s);
    CHECK(links.state() == LinkState::kSuspected);
    CHECK(links.WantsProbes(kNow + 1s));
  }
  SECTION("unless any endpoint has answered since") {
    links.OnAnswer(kNow + 900ms);
    links.CheckSilence(kNow + 1s);
    CHECK(links.state() == LinkState::kConnected);
  }
}

// Guards against a quiet entry whose requests all go to one endpoint, such as
// the owner of their object, until that one is put aside.
TEST_CASE(
    "An endpoint that owes an answer for a while casts doubt on the links") {
  LinkMonitor links;
  links.SetEndpointCount(12);
  links.OnSent(kNow);
  links.CheckSilence(kNow + 900ms);
  CHECK(links.state() == LinkState::kConnected);
  SECTION("if no other has answered since") {
    links.CheckSilence(kNow + 1s);
    REQUIRE(links.state() == LinkState::kSuspected);
    REQUIRE(links.WantsProbes(kNow + 1s));
    const auto probed = links.SelectProbes(MakeCandidates(), 1, kNow + 1s);
    links.OnProbeEnd(LinkProbeEnd::kConnected, kNow + 1s);
    CHECK(links.state() == LinkState::kConnected);
    for (std::size_t i = 1; i < probed.size(); ++i)
      links.OnProbeEnd(LinkProbeEnd::kConnected, kNow + 1s);
    // Once the links are known to work, the same request says nothing more.
    links.CheckSilence(kNow + 10s);
    CHECK(links.state() == LinkState::kConnected);
  }
  SECTION("unless another has answered since") {
    links.OnAnswer(kNow + 900ms);
    links.CheckSilence(kNow + 10s);
    CHECK(links.state() == LinkState::kConnected);
  }
}

TEST_CASE(
    "Failures long apart, or of one endpoint, don't cast doubt on links that "
    "carry answers") {
  LinkMonitor links;
  links.SetEndpointCount(12);
  for (int i = 0; i < 20; ++i)
    links.OnFailure("p0", kNow);
  links.OnFailure("p1", kNow);
  links.OnAnswer(kNow + 1s);
  links.OnFailure("p2", kNow + 5s);
  CHECK(links.state() == LinkState::kConnected);
}

// Guards against a quiet entry that never notices the loss of its links,
// because its requests are further apart than failures count.
TEST_CASE("Failures far apart without any answer cast doubt on the links") {
  LinkMonitor links;
  links.SetEndpointCount(12);
  links.OnAnswer(kNow - 1s);
  links.OnFailure("p0", kNow);
  links.OnFailure("p1", kNow + 10s);
  CHECK(links.state() == LinkState::kConnected);
  links.OnFailure("p2", kNow + 20s);
  CHECK(links.state() == LinkState::kSuspected);
}

}  // namespace jacinth::forwarding
