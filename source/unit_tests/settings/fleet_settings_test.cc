#include "core/settings/fleet_settings.h"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jacinth::settings {
namespace {

struct BranchExample {
  std::string branch;
  /// The forms that the branch takes beside that of setting nothing.
  std::vector<Tree::Values> forms;
};

std::vector<Tree::Values> RouteForms() {
  return {{{"host", "h"}, {"path_prefix", "/"}, {"service", "s"}},
          {{"host", "h"}, {"path_prefix", "/a/"}, {"service", "t"}},
          {{"host", "h"}, {"path_prefix", "/b/"}, {"split", "s:1,t:2"}},
          {{"host", "H."}, {"path_prefix", "/a/"}, {"service", "s"}},
          {{"host", "i"},
           {"path_prefix", "/a/"},
           {"service", "s"},
           {"regions", "west"}}};
}

/// Branches of each scope, whose settings inherit and override each other and
/// whose names begin alike.
const std::vector<BranchExample>& BranchExamples() {
  static const std::vector<BranchExample> kExamples = {
      {"", {{{"ttl_ms", "700"}, {"max_attempts", "3"}}}},
      {"entry/e", {{{"drain", "true"}}}},
      {"region/west", {{{"drain", "true"}}}},
      {"region/west/clients/c", {{{"blocks", "10.0.0.0/8"}}}},
      {"region/west/failure_domain/w", {{{"drain", "true"}}}},
      {"route", {{{"objective_ms", "900"}}, {{"priority", "0"}}}},
      {"route/a", RouteForms()},
      {"route/a-b", RouteForms()},
      {"route/c", RouteForms()},
      {"service", {{{"slots", "9"}, {"queue_limit", "7"}}}},
      {"service/s", {{{"ttl_ms", "800"}}, {{"queue_limit", "5"}}}},
      {"service/s-t", {{{"probe_failures", "4"}}}},
      {"service/s/endpoint/x",
       {{{"address", "10.0.0.1:80"},
         {"region", "west"},
         {"failure_domain", "w"}}}},
      {"service/s/kind/k",
       {{{"path_prefix", "/"}}, {{"path_prefix", "/a/"}, {"rank", "urgent"}}}},
      {"service/s/kind/l", {{{"path_prefix", "/b/"}, {"repeatable", "true"}}}},
      {"service/s/region/west", {{{"ttl_ms", "400"}}, {{"weight", "3"}}}},
      {"service/t", {{{"warmup_ms", "2000"}}}},
  };
  return kExamples;
}

// Replaces a random branch and returns its name.
std::string ChangeRandomBranch(Tree& tree) {
  const BranchExample& example = *rc::gen::elementOf(BranchExamples());
  const auto form = *rc::gen::inRange<std::size_t>(0, example.forms.size() + 1);
  tree.Replace(example.branch, form < example.forms.size() ? example.forms[form]
                                                           : Tree::Values());
  return example.branch;
}

}  // namespace

// Guards against settings in force that differ from those that were
// acknowledged, as a part that a change has affected wasn't built anew.
TEST_CASE(
    "Property: settings that are updated by changes equal those that are built "
    "from the whole tree") {
  CHECK(rc::check([] {
    Tree tree;
    auto fleet = BuildFleetSettings(tree, 1);
    const int changes = *rc::gen::inRange(1, 30);
    for (int i = 0; i < changes; ++i) {
      const std::uint64_t revision = fleet->revision + 1;
      std::vector<std::string> branches(*rc::gen::inRange<std::size_t>(0, 4));
      for (std::string& branch : branches)
        branch = ChangeRandomBranch(tree);
      fleet = UpdateFleetSettings(*fleet, tree, branches, revision);
      RC_ASSERT(*fleet == *BuildFleetSettings(tree, revision));
      RC_ASSERT(tree.Checksum() == Hash64(tree.ToIni()));
    }
  }));
}

// Guards against routes that no request finds (docs/incidents/host-case.md).
TEST_CASE("Hosts that differ in case alone are one host") {
  const auto route = [](const char* host, const char* prefix) {
    return Tree::Values{
        {"host", host}, {"path_prefix", prefix}, {"service", "s"}};
  };
  Tree tree;
  tree.Replace("service/s", {{"ttl_ms", "700"}});
  tree.Replace("route/a", route("Rota.Example", "/"));
  tree.Replace("route/b", route("rota.example", "/x/"));
  tree.Replace("route/c", route("ROTA.example", "/x/"));
  const auto fleet = BuildFleetSettings(tree, 1);
  REQUIRE(fleet->FindRoute("rota.example", "/y/") != nullptr);
  CHECK(fleet->FindRoute("rota.example", "/y/")->kind.name == "a");
  // Routes with the same prefix apply in the order of their names.
  CHECK(fleet->FindRoute("rota.example", "/x/1")->kind.name == "b");

  tree.Replace("route/b", {});
  const std::vector<std::string> removed = {"route/b"};
  const auto without_b = UpdateFleetSettings(*fleet, tree, removed, 2);
  CHECK(without_b->FindRoute("rota.example", "/x/1")->kind.name == "c");
}

// Guards against weights that become negative, so that their services get no
// requests (docs/incidents/large-weights.md).
TEST_CASE("Weights that need more than 32 bits keep their values") {
  Tree tree;
  tree.Replace("route/r", {{"host", "h"},
                           {"path_prefix", "/"},
                           {"split", "s:3000000000,t:1000000000000000"}});
  const auto fleet = BuildFleetSettings(tree, 1);
  const RouteSettings* route = fleet->FindRoute("h", "/");
  REQUIRE(route != nullptr);
  CHECK(route->shares == std::vector<RouteShare>{{"s", 3'000'000'000},
                                                 {"t", 1'000'000'000'000'000}});
}

}  // namespace jacinth::settings
