#include "core/entry/weighted_round_robin.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::entry {

TEST_CASE(
    "Property: the number of requests of each service deviates from its share "
    "by at most the number of shares") {
  CHECK(rc::check([] {
    std::vector<settings::RouteShare> shares;
    const int count = *rc::gen::inRange(1, 5);
    int total = 0;
    for (int i = 0; i < count; ++i) {
      const int weight = *rc::gen::inRange(0, 100);
      shares.push_back({"s" + std::to_string(i), weight});
      total += weight;
    }
    WeightedRoundRobin round_robin;
    std::map<std::string, int> assigned;
    const int requests = *rc::gen::inRange(1, 300);
    for (int i = 0; i < requests; ++i)
      ++assigned[round_robin.Next(shares)];
    if (total == 0) {
      RC_ASSERT(assigned[""] == requests);
      return;
    }
    for (const settings::RouteShare& share : shares) {
      const double expected =
          requests * static_cast<double>(share.weight) / total;
      RC_ASSERT(std::abs(assigned[share.service] - expected) <= count);
    }
  }));
}

// Guards against weights that are too large for the sum of credits, and against
// a share that is lost beside one a billion times larger
// (docs/incidents/large-weights.md).
TEST_CASE("Weights of any size get their shares") {
  constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
  const std::vector<settings::RouteShare> shares = GENERATE(
      std::vector<settings::RouteShare>{{"a", 3'000'000'000},
                                        {"b", 1'000'000'000}},
      std::vector<settings::RouteShare>{
          {"a", kLargest}, {"a", kLargest}, {"a", kLargest}, {"b", kLargest}},
      std::vector<settings::RouteShare>{
          {"c", 1}, {"a", 750'000'000}, {"b", 250'000'000}});
  WeightedRoundRobin round_robin;
  std::map<std::string, int> assigned;
  for (int i = 0; i < 400; ++i)
    ++assigned[round_robin.Next(shares)];
  CHECK(std::abs(assigned["a"] - 300) <= 1);
  CHECK(std::abs(assigned["b"] - 100) <= 1);
}

TEST_CASE("A small share is served beside one a million times larger") {
  const std::vector<settings::RouteShare> shares = {{"a", 1'000'000}, {"b", 1}};
  WeightedRoundRobin round_robin;
  int assigned = 0;
  for (int i = 0; i < 3'000'003; ++i)
    assigned += round_robin.Next(shares) == "b" ? 1 : 0;
  CHECK(assigned == 3);
}

}  // namespace jacinth::entry
