#include "core/control/slice_balancer.h"

#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

using SliceEndpointMap = std::map<std::string, SliceEndpoint>;

std::map<std::string, double> LoadsAfter(std::vector<SliceLoad> slices,
                                         const std::vector<SliceMove>& moves) {
  for (const SliceMove& move : moves)
    slices.at(move.slice).owner = move.to;
  std::map<std::string, double> loads;
  for (const SliceLoad& slice : slices)
    loads[slice.owner] += slice.requests;
  return loads;
}

}  // namespace

TEST_CASE("The largest slice that fits moves to the least loaded endpoint") {
  const SliceEndpointMap endpoints = {{"a", {"s", "west", 4}},
                                      {"b", {"s", "west", 4}},
                                      {"c", {"s", "west", 4}}};
  const std::vector<SliceLoad> slices = {
      {"a", 3.5}, {"a", 1}, {"a", 2}, {"b", 2}};
  CHECK(BalanceSlices(endpoints, slices) ==
        std::vector<SliceMove>{SliceMove{2, "c"}});
}

TEST_CASE("Owners without waiting requests keep their slices") {
  const SliceEndpointMap endpoints = {{"a", {"s", "west", 4}},
                                      {"b", {"s", "west", 4}}};
  CHECK(BalanceSlices(endpoints, {{"a", 2}, {"a", 2}}).empty());
}

TEST_CASE("A slice moves only if all restrictions permit it") {
  SliceEndpointMap endpoints = {{"a", {"s", "west", 4}},
                                {"b", {"s", "west", 4}}};
  std::vector<SliceLoad> slices = {{"a", 3}, {"a", 2}};
  REQUIRE(BalanceSlices(endpoints, slices).size() == 1);
  SECTION("not to another region") {
    endpoints["b"].region = "east";
  }
  SECTION("not to another service") {
    endpoints["b"].service = "t";
  }
  SECTION("not to a cold endpoint") {
    endpoints["b"].accepts_slices = false;
  }
  SECTION("not shortly after it moved") {
    slices[0].is_movable = slices[1].is_movable = false;
  }
  SECTION("not if it is the only slice of its owner") {
    slices = {{"a", 5}};
  }
  SECTION("not to an endpoint without enough idle capacity") {
    slices.push_back({"b", 2});
  }
  CHECK(BalanceSlices(endpoints, slices).empty());
}

TEST_CASE("Property: moves stay in the region and never overload a target") {
  const bool holds = rc::check([] {
    SliceEndpointMap endpoints;
    const int count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < count; ++i) {
      endpoints["p" + std::to_string(i)] = {
          "s" + std::to_string(*rc::gen::inRange(0, 2)),
          *rc::gen::element<std::string>("west", "east"),
          *rc::gen::inRange(1, 10), *rc::gen::arbitrary<bool>()};
    }
    std::vector<SliceLoad> slices;
    const int slice_count = *rc::gen::inRange(0, 40);
    slices.reserve(static_cast<std::size_t>(slice_count));
    for (int i = 0; i < slice_count; ++i) {
      slices.push_back({"p" + std::to_string(*rc::gen::inRange(0, count + 1)),
                        *rc::gen::inRange(0, 60) / 10.0,
                        *rc::gen::arbitrary<bool>()});
    }
    const auto moves = BalanceSlices(endpoints, slices);
    const auto after = LoadsAfter(slices, moves);
    for (const SliceMove& move : moves) {
      const SliceLoad& slice = slices.at(move.slice);
      const SliceEndpoint& from = endpoints.at(slice.owner);
      const SliceEndpoint& to = endpoints.at(move.to);
      RC_ASSERT(slice.is_movable);
      RC_ASSERT(to.accepts_slices);
      RC_ASSERT(from.service == to.service);
      RC_ASSERT(from.region == to.region);
      RC_ASSERT(after.at(move.to) <= to.slots);
    }
  });
  CHECK(holds);
}

}  // namespace jacinth::control
