#include "core/settings/tree.h"

#include <catch2/catch.hpp>

#include "core/settings/fleet_settings.h"
#include "core/settings/tree_validation.h"

namespace jacinth::settings {

TEST_CASE("A branch inherits values that it does not set") {
  Tree tree;
  tree.Set("", "ttl_ms", "1000");
  tree.Set("service/a", "ttl_ms", "2000");
  CHECK(tree.FindEffectiveValue("service/a/region/west", "ttl_ms") ==
        EffectiveValue{"2000", "service/a"});
  CHECK(tree.FindEffectiveValue("service/b", "ttl_ms") ==
        EffectiveValue{"1000", ""});
  CHECK_FALSE(tree.FindEffectiveValue("service/b", "slots"));
}

TEST_CASE("A tree written as INI parses back to an equal tree") {
  Tree tree;
  tree.Set("", "ttl_ms", "1000");
  tree.Set("service/a", "slots", "2");
  tree.Set("service/a/kind/k", "path_prefix", "/x");
  const ParsedTree parsed = ParseTree(tree.ToIni());
  CHECK(parsed.faults.empty());
  CHECK(parsed.tree == tree);
}

TEST_CASE("The children of a branch include those that only have descendants") {
  Tree tree;
  tree.Set("service/a/kind/k", "path_prefix", "/x");
  tree.Set("service/ab", "slots", "2");
  CHECK(tree.ChildNames("service") == std::vector<std::string>{"a", "ab"});
  CHECK(tree.ChildNames("service/a") == std::vector<std::string>{"kind"});
}

// Guards against a valid tree that is refused, as a service whose descendants
// sort after those of another one is checked twice.
TEST_CASE(
    "A service is valid beside one whose name sorts before its endpoint") {
  const ParsedTree parsed = ParseTree(
      "[service/a]\nslots = 2\n"
      "[service/a-b]\nslots = 2\n"
      "[service/a/endpoint/x]\naddress = 127.0.0.1:1\nregion = west\n"
      "failure_domain = w1\n");
  REQUIRE(parsed.faults.empty());
  CHECK(parsed.tree.ChildNames("service") ==
        std::vector<std::string>{"a", "a-b"});
  CHECK(ValidateTree(parsed.tree).empty());
}

TEST_CASE("Draining a failure domain or region drains its endpoints") {
  const std::string endpoint_section =
      "[service/a/endpoint/x]\naddress = 127.0.0.1:1\nregion = west\n"
      "failure_domain = w1\n";
  const auto drained = [&](const std::string& extra) {
    const ParsedTree parsed = ParseTree(endpoint_section + extra);
    REQUIRE(parsed.faults.empty());
    const auto fleet = BuildFleetSettings(parsed.tree, 1);
    return fleet->services.at("a").endpoints.at(0).drained;
  };
  CHECK_FALSE(drained(""));
  CHECK(drained("[region/west]\ndrain = true\n"));
  CHECK(drained("[region/west/failure_domain/w1]\ndrain = true\n"));
  CHECK_FALSE(drained("[region/west/failure_domain/w2]\ndrain = true\n"));
  CHECK_FALSE(drained("[region/east]\ndrain = true\n"));
}

TEST_CASE("FindKind returns the matching kind with the longest path prefix") {
  const ParsedTree parsed = ParseTree(
      "[service/a/kind/all]\npath_prefix = /\n"
      "[service/a/kind/sub]\npath_prefix = /sub\nmethod = POST\n");
  REQUIRE(parsed.faults.empty());
  const auto fleet = BuildFleetSettings(parsed.tree, 1);
  const ServiceSettings& service = fleet->services.at("a");
  CHECK(service.FindKind("POST", "/sub/1")->name == "sub");
  CHECK(service.FindKind("GET", "/sub/1")->name == "all");
  CHECK(service.FindKind("POST", "/other")->name == "all");
}

}  // namespace jacinth::settings
