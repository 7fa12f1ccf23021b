#include "core/settings/route_digest.h"

#include <functional>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::settings {
namespace {

RouteSettings MakeRoute() {
  RouteSettings route;
  route.host = "h";
  route.kind.name = "a";
  route.kind.path_prefix = "/a/";
  route.kind.regions = {"west", "east"};
  route.shares = {{"s", 1}, {"t", 2}};
  return route;
}

}  // namespace

// Guards against hand-overs that are run by settings which differ in something
// that the digest leaves out (docs/incidents/home.md).
TEST_CASE("Each setting of a route changes its digest") {
  const std::vector<std::function<void(RouteSettings&)>> changes = {
      [](RouteSettings&) {},
      [](RouteSettings& route) { route.host = "i"; },
      [](RouteSettings& route) { route.kind.name = "b"; },
      [](RouteSettings& route) { route.kind.path_prefix = "/"; },
      [](RouteSettings& route) { route.kind.method = "GET"; },
      [](RouteSettings& route) { route.kind.rank = Rank::kUrgent; },
      [](RouteSettings& route) {
        route.kind.execution = Execution::kRepeatable;
      },
      [](RouteSettings& route) { route.kind.request_timeout = 1s; },
      [](RouteSettings& route) { route.kind.attempt_timeout = 1s; },
      [](RouteSettings& route) { route.kind.objective = 1s; },
      [](RouteSettings& route) { route.kind.max_attempts = 2; },
      [](RouteSettings& route) { route.kind.queue_limit = 2; },
      [](RouteSettings& route) { route.kind.concurrency_limit = 2; },
      [](RouteSettings& route) { route.kind.affinity = true; },
      [](RouteSettings& route) {
        route.kind.regions = {"east", "west"};
      },
      [](RouteSettings& route) { route.kind.regions = {"west"}; },
      [](RouteSettings& route) { route.kind.regions = {"westeast"}; },
      [](RouteSettings& route) { route.kind.regions.clear(); },
      [](RouteSettings& route) { route.shares.pop_back(); },
      [](RouteSettings& route) { route.shares[0].service = "u"; },
      [](RouteSettings& route) { route.shares[0].weight = 3; },
  };
  std::set<std::uint64_t> digests;
  for (const auto& change : changes) {
    RouteSettings route = MakeRoute();
    change(route);
    const std::uint64_t digest = DigestOf(route);
    CHECK(digest != 0);
    CHECK(digest == DigestOf(RouteSettings(route)));
    digests.insert(digest);
  }
  CHECK(digests.size() == changes.size());
}

}  // namespace jacinth::settings
