#include "jacinthroute/relay_tag.h"

#include <limits>

#include <catch2/catch.hpp>

namespace jacinth {

TEST_CASE("A relay tag keeps all that it states") {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  const RelayTag tag = GENERATE_COPY(
      RelayTag{"e1@west", 0, 0, 0}, RelayTag{"e1@west", 17, 0, 0},
      RelayTag{"e1@west", 0, kMax, 0}, RelayTag{"e;1", kMax, 0, 0},
      RelayTag{"e;1", 0, 0, kMax}, RelayTag{"e;1", kMax, 4, 7});
  CHECK(ParseRelayTag(FormatRelayTag(tag)) == tag);
}

// Guards against refusing requests from entries of earlier builds, which state
// no revision.
TEST_CASE("A relay tag without a well-formed revision states none") {
  const auto* const text =
      GENERATE("", "e1", "e1;revision=", "e1;revision=x", "e1;revision=7x",
               "e1;revision=-7", "e1;revision=99999999999999999999");
  CHECK(ParseRelayTag(text).revision == 0);
}

}  // namespace jacinth
