#include "core/quarantine/crash_history.h"

#include <catch2/catch.hpp>

namespace jacinth::quarantine {
namespace {

constexpr Time kStart{100s};

}  // namespace

TEST_CASE("Crashes that follow one another are counted") {
  CrashHistory history;
  CHECK(history.Add(1, kStart, kStart + 1s));
  CHECK(history.Add(2, kStart + 2s, kStart + 3s));
  CHECK(history.Add(3, kStart + 3s, kStart + 4s));
  CHECK(history.Sequence() == std::vector<std::uint64_t>{1, 2, 3});
}

TEST_CASE("A crash that is reported twice is counted once") {
  CrashHistory history;
  CHECK(history.Add(1, kStart, kStart + 1s));
  CHECK_FALSE(history.Add(1, kStart + 2s, kStart + 3s));
  CHECK(history.Sequence().size() == 1);
}

// Guards against blaming a request for endpoints that end together, as in a
// power loss (docs/incidents/deadly.md).
TEST_CASE("Endpoints that end while they run the same request count once") {
  CrashHistory history;
  for (std::uint64_t endpoint = 1; endpoint <= 6; ++endpoint)
    history.Add(endpoint, kStart, kStart + 1s + endpoint * 100ms);
  CHECK(history.Sequence().size() == 1);
}

TEST_CASE("The order of the reports does not matter") {
  CrashHistory history;
  history.Add(3, kStart + 4s, kStart + 5s);
  history.Add(1, kStart, kStart + 1s);
  history.Add(2, kStart + 2s, kStart + 3s);
  CHECK(history.Sequence() == std::vector<std::uint64_t>{1, 2, 3});
}

TEST_CASE("Crashes are forgotten after a while") {
  CrashHistory history;
  history.Add(1, kStart, kStart + 1s);
  history.Add(2, kStart + 30s, kStart + 31s);
  history.Expire(kStart + 1s + CrashHistory::kMaxAge);
  CHECK(history.Sequence() == std::vector<std::uint64_t>{2});
  history.Expire(kStart + 31s + CrashHistory::kMaxAge);
  CHECK(history.empty());
}

TEST_CASE("Crashes that the fleet has counted add to those seen later") {
  CrashHistory history;
  history.SetCounted({1, 2}, kStart, kStart + 60s);
  // Known already, and running before the second crash ended.
  history.Add(2, kStart + 1s, kStart + 2s);
  history.Add(3, kStart - 1s, kStart + 2s);
  CHECK(history.Sequence().size() == 2);
  history.Add(4, kStart + 1s, kStart + 2s);
  CHECK(history.Sequence() == std::vector<std::uint64_t>{1, 2, 4});
  history.Expire(kStart + 60s);
  CHECK(history.Sequence().size() < 3);
}

}  // namespace jacinth::quarantine
