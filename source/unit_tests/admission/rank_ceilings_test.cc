#include "core/admission/rank_ceilings.h"

#include <catch2/catch.hpp>

namespace jacinth::admission {

TEST_CASE(
    "A flood of requests of a lower rank leaves capacity for higher ranks") {
  RankCeilings ceilings(100);
  int background = 0;
  while (ceilings.TryAdmit(Rank::kBackground))
    ++background;
  CHECK(background == 50);
  int normal = 0;
  while (ceilings.TryAdmit(Rank::kNormal))
    ++normal;
  CHECK(normal == 25);
  int urgent = 0;
  while (ceilings.TryAdmit(Rank::kUrgent))
    ++urgent;
  CHECK(urgent == 25);
  ceilings.Release(Rank::kBackground);
  CHECK(ceilings.TryAdmit(Rank::kBackground));
}

}  // namespace jacinth::admission
