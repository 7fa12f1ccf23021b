#include "jacinthroute/relay_tag.h"

#include <limits>

#include <catch2/catch.hpp>

namespace jacinth {

TEST_CASE("A relay tag keeps the entry and the revision") {
  const RelayTag tag =
      GENERATE(RelayTag{"e1@west", 0}, RelayTag{"e1@west", 17},
               RelayTag{"e;1", std::numeric_limits<std::uint64_t>::max()});
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
