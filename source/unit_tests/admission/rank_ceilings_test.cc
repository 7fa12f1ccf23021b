#include "core/admission/rank_ceilings.h"

#include <catch2/catch.hpp>

namespace jacinth::admission {

TEST_CASE(
    "A flood of requests of a lower rank leaves capacity for higher ranks") {
  RankCeilings ceilings(100);
  int background = 0;
  while (ceilings.TryEnter(Rank::kBackground))
    ++background;
  CHECK(background == 50);
  int normal = 0;
  while (ceilings.TryEnter(Rank::kNormal))
    ++normal;
  CHECK(normal == 25);
  int urgent = 0;
  while (ceilings.TryEnter(Rank::kUrgent))
    ++urgent;
  CHECK(urgent == 25);
  ceilings.Leave(Rank::kBackground);
  CHECK(ceilings.TryEnter(Rank::kBackground));
}

}  // namespace jacinth::admission
