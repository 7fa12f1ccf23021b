#include "core/forwarding/endpoint_load.h"

#include <catch2/catch.hpp>

namespace jacinth::forwarding {
namespace {

constexpr Time kNow{100s};

}  // namespace

TEST_CASE(
    "Own requests in a load report are counted once, and those of others "
    "expire with the report") {
  EndpointLoad load;
  load.OnRequestSent();
  load.OnRequestSent();
  // One of the five reported requests belongs to this entry.
  load.OnRequestEnd(LoadReport{3, 2, 4}, kNow);
  CHECK(load.own_requests() == 1);
  CHECK(load.TotalRequests(kNow) == Approx(5));
  CHECK(load.TotalRequests(kNow + 2s) == Approx(3));
  CHECK(load.TotalRequests(kNow + 60s) == Approx(1));
}

TEST_CASE("Without a load report only this entry's own requests are counted") {
  EndpointLoad load;
  load.OnRequestSent();
  load.OnRequestEnd({}, kNow);
  CHECK_FALSE(load.has_report());
  CHECK(load.TotalRequests(kNow) == 0);
}

}  // namespace jacinth::forwarding
