#include "core/protocol/change_scope.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::protocol {
namespace {

BranchChange RouteChange(const std::string& name,
                         const std::string& host,
                         const std::string& prefix) {
  return {"route/" + name, {{"host", host}, {"path_prefix", prefix}}};
}

}  // namespace

TEST_CASE("A scope has the requests whose route is added, changed or removed") {
  const ChangeScope scope = ChangeScope::FromBytes(
      ChangeScope({RouteChange("added", "h", "/a/b/"), {"route/gone", {}}})
          .ToBytes());
  CHECK(scope.MayInclude("h", "/a/b/", ""));
  // Until now, the shorter route served them.
  CHECK(scope.MayInclude("h", "/a/b/c", "shorter"));
  CHECK(scope.MayInclude("h", "/other", "added"));
  CHECK(scope.MayInclude("h", "/x", "gone"));
  CHECK_FALSE(scope.MayInclude("h", "/a/c", "shorter"));
  CHECK_FALSE(scope.MayInclude("other", "/a/b/c", "else"));
  CHECK_FALSE(scope.MayInclude("h", "/a/b", ""));
}

// Guards against 404 for the requests of a route that an entry is about to get
// (docs/incidents/host-case.md).
TEST_CASE("A scope has the requests of a route whose host has capitals") {
  const ChangeScope scope({RouteChange("added", "Rota.Example", "/a/")});
  CHECK(scope.MayInclude("rota.example", "/a/b", ""));
}

TEST_CASE("A route without a path prefix has all requests of its host") {
  const ChangeScope scope({{"route/r", {{"host", "h"}}}});
  CHECK(scope.MayInclude("h", "/any", ""));
  CHECK_FALSE(scope.MayInclude("other", "/any", ""));
}

TEST_CASE("Long path prefixes have all requests to paths as long") {
  const std::string prefix(300, 'a');
  const ChangeScope scope = ChangeScope::FromBytes(
      ChangeScope({RouteChange("r", "h", prefix)}).ToBytes());
  CHECK(scope.MayInclude("h", prefix + "x", ""));
  CHECK(scope.MayInclude("other", prefix, ""));
  CHECK_FALSE(scope.MayInclude("h", "/short", ""));
}

TEST_CASE("A scope of unknown or general changes has all requests") {
  const std::vector<BranchChange> general =
      GENERATE(std::vector<BranchChange>{},
               std::vector<BranchChange>{{"route", {{"ttl_ms", "1"}}}},
               std::vector<BranchChange>{{"service/s", {{"ttl_ms", "1"}}}},
               std::vector<BranchChange>{
                   {"region/r/failure_domain/d", {{"drain", "true"}}},
                   RouteChange("r", "h", "/a/")});
  CHECK(ChangeScope(general).ToBytes().empty());
  CHECK(ChangeScope(general).MayInclude("h", "/x", "other"));
  CHECK(ChangeScope::FromBytes("").MayInclude("h", "/x", "other"));
  CHECK(ChangeScope::FromBytes("abcd").MayInclude("h", "/x", "other"));
}

TEST_CASE("A scope of many routes is small and rarely has other requests") {
  constexpr int kRoutes = 1'400;
  std::vector<BranchChange> changes;
  for (int i = 0; i < kRoutes; ++i) {
    const std::string name = std::to_string(i);
    changes.push_back(RouteChange(name, "h", "/added-" + name + "/"));
  }
  const ChangeScope scope(changes);
  CHECK(scope.ToBytes().size() < 4'500);
  int included = 0;
  for (int i = 0; i < kRoutes; ++i) {
    const std::string name = std::to_string(i);
    REQUIRE(scope.MayInclude("h", "/added-" + name + "/x", ""));
    included += scope.MayInclude("h", "/kept-" + name + "/x", "k" + name);
  }
  CHECK(included < kRoutes / 20);
}

}  // namespace jacinth::protocol
