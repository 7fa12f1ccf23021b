#include "core/entry/weighted_round_robin.h"

#include <cmath>
#include <map>
#include <rapidcheck.h>

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

}  // namespace jacinth::entry
