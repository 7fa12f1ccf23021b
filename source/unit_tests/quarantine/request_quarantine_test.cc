#include "core/quarantine/request_quarantine.h"

#include <string>

#include <catch2/catch.hpp>

namespace jacinth::quarantine {
namespace {

constexpr std::uint64_t kRequest = 7;
constexpr std::uint64_t kTerm1 = std::uint64_t{1} << 32U;
constexpr std::uint64_t kTerm2 = std::uint64_t{2} << 32U;

/// Crashes `count` endpoints one after the other and returns the time after
/// that.
Time Crash(RequestQuarantine& quarantine, int count, Time now) {
  for (int i = 0; i < count; ++i) {
    const std::string endpoint =
        "i-" + std::to_string(now.time_since_epoch().count());
    quarantine.OnLost({kRequest, "s", endpoint, 1, now}, now + 100ms);
    now += 200ms;
  }
  return now;
}

protocol::SuspectUpdate Update(std::uint64_t version) {
  return {version, false, {{kRequest, {1, 2, 3}, 60'000}}};
}

}  // namespace

// Guards against a request that crashes each endpoint that runs it while no
// leader is in touch (docs/incidents/deadly.md).
TEST_CASE("Without a leader, an entry's own crashes block a request") {
  RequestQuarantine quarantine;
  Time now{100s};
  now = Crash(quarantine, 1, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  now = Crash(quarantine, 1, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kSuspected);
  Crash(quarantine, 1, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  CHECK(quarantine.Judge(kRequest + 1) == Verdict::kClear);
}

TEST_CASE("An answer clears a request at once, and the leader hears of it") {
  RequestQuarantine quarantine;
  Time now = Crash(quarantine, 2, Time{100s});
  quarantine.OnAnswer(kRequest, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  CHECK(quarantine.TakeReports(1, now).empty());
  CHECK(quarantine.TakeAcquittals(1, now) ==
        std::vector<std::uint64_t>{kRequest});
  // The list that the leader sent before it heard of the answer.
  quarantine.ApplyUpdate(Update(kTerm1 + 1), 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
}

// Guards against a suspect of the leader that an entry never learns of, as it
// was skipped for an acquittal that the leader never got.
TEST_CASE("A suspect that is skipped for an acquittal counts without it") {
  RequestQuarantine quarantine;
  Time now = Crash(quarantine, 2, Time{100s});
  quarantine.OnAnswer(kRequest, now);
  protocol::SuspectUpdate list = Update(kTerm1 + 5);
  list.requests[0].left_ms = 600'000;
  quarantine.ApplyUpdate(list, 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  const auto forget_acquittal = [&] {
    if (GENERATE(true, false)) {
      now += 61s;
      quarantine.Expire(now);
      return;
    }
    // Acquittals of others take its place.
    constexpr std::uint64_t kOthers = 256;
    for (std::uint64_t other = kRequest + 1; other <= kRequest + kOthers;
         ++other) {
      for (const std::string endpoint : {"a", "b"}) {
        quarantine.OnLost({other, "s", endpoint, 1, now}, now + 100ms);
        now += 200ms;
      }
      quarantine.OnAnswer(other, now);
    }
  };
  SECTION("if that is forgotten") {
    forget_acquittal();
    CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  }
  SECTION("unless the leader has got that") {
    REQUIRE(quarantine.TakeAcquittals(3, now).size() == 1);
    protocol::SuspectUpdate unchanged;
    unchanged.version = kTerm1 + 5;
    unchanged.unchanged = true;
    quarantine.ApplyUpdate(unchanged, 3, now);
    forget_acquittal();
    CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  }
  SECTION("unless the leader has withdrawn it") {
    protocol::SuspectUpdate withdrawal;
    withdrawal.version = kTerm1 + 6;
    withdrawal.base = GENERATE(kTerm1 + 5, 0);
    if (withdrawal.base != 0)
      withdrawal.removed = {kRequest};
    quarantine.ApplyUpdate(withdrawal, 0, now);
    forget_acquittal();
    CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  }
}

TEST_CASE("Suspects of the leader's list are blocked until they leave it") {
  RequestQuarantine quarantine;
  const Time now{100s};
  quarantine.ApplyUpdate(Update(kTerm1 + 1), 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  quarantine.ApplyUpdate({kTerm1 + 1, true, {}}, 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  quarantine.ApplyUpdate({kTerm1 + 2, false, {}}, 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
}

// Guards against forgetting a blocked request because a new leader was restored
// from the snapshot of a build without suspects.
TEST_CASE("A new leader's list does not clear what an earlier one blocked") {
  RequestQuarantine quarantine;
  const Time now{100s};
  quarantine.ApplyUpdate(Update(kTerm1 + 1), 0, now);
  quarantine.ApplyUpdate({kTerm2 + 1, false, {}}, 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  quarantine.Expire(now + 61s);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
  CHECK(quarantine.size() == 0);
}

// Guards against losing single crashes when the leader changes before the third
// one.
TEST_CASE("Reports are repeated until each leader has received them") {
  RequestQuarantine quarantine;
  Time now = Crash(quarantine, 2, Time{100s});
  REQUIRE(quarantine.TakeReports(1, now).size() == 2);
  CHECK(quarantine.TakeReports(2, now + 100ms).empty());
  // No reply: repeated later.
  now += 1s;
  const auto reports = quarantine.TakeReports(3, now);
  REQUIRE(reports.size() == 2);
  CHECK(reports.front().ended_age_ms > 1'000);
  quarantine.ApplyUpdate({kTerm1 + 1, false, {}}, 3, now);
  now += 2s;
  CHECK(quarantine.TakeReports(4, now).empty());
  quarantine.ApplyUpdate({kTerm2 + 1, false, {}}, 0, now);
  CHECK(quarantine.TakeReports(5, now).size() == 2);
}

// Guards against crashes that a leader learns of a second late, or never if
// this entry restarts meanwhile, because one heartbeat was lost.
TEST_CASE(
    "News of a lost heartbeat go with the next once a later is answered") {
  RequestQuarantine quarantine;
  const Time now = Crash(quarantine, 2, Time{100s});
  REQUIRE(quarantine.TakeReports(1, now).size() == 2);
  CHECK(quarantine.TakeReports(2, now + 100ms).empty());
  quarantine.ApplyUpdate({kTerm1 + 1, false, {}}, 2, now + 150ms);
  CHECK(quarantine.TakeReports(3, now + 200ms).size() == 2);
  quarantine.OnAnswer(kRequest, now + 210ms);
  REQUIRE(quarantine.TakeAcquittals(4, now + 220ms).size() == 1);
  CHECK(quarantine.TakeAcquittals(5, now + 300ms).empty());
  quarantine.ApplyUpdate({kTerm1 + 1, true, {}}, 5, now + 350ms);
  CHECK(quarantine.TakeAcquittals(6, now + 400ms).size() == 1);
}

// Guards against requests that are blamed for endpoints which end by themselves
// (docs/incidents/deadly.md).
TEST_CASE("Endpoints that end at the same time accuse no request") {
  RequestQuarantine quarantine;
  const Time now{100s};
  for (std::uint64_t endpoint = 0; endpoint < 60; ++endpoint) {
    for (std::uint64_t request = 0; request < 9; ++request) {
      // Some requests are popular and run everywhere.
      const std::uint64_t fingerprint =
          request < 2 ? request : endpoint * 100 + request;
      quarantine.OnLost({fingerprint, "s", "i-" + std::to_string(endpoint), 1,
                         now - request * 100ms - 60ms},
                        now + endpoint * 1ms);
    }
  }
  for (std::uint64_t fingerprint = 0; fingerprint < 6'000; ++fingerprint)
    REQUIRE(quarantine.Judge(fingerprint) == Verdict::kClear);
}

TEST_CASE("Memory and messages are bounded, and accused requests stay") {
  RequestQuarantine quarantine;
  Time now = Crash(quarantine, 3, Time{100s});
  for (std::uint64_t request = 100; request < 10'100; ++request)
    quarantine.OnLost({request, "s", "i", 1, now}, now);
  CHECK(quarantine.size() <= 1'024);
  CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
  CHECK(quarantine.TakeReports(1, now).size() <= 32);
  quarantine.Expire(now + CrashHistory::kMaxAge);
  CHECK(quarantine.size() == 0);
}

// Guards against a leader that has to send all suspects with each new one.
TEST_CASE("Changes of the leader's list apply to what an entry holds") {
  RequestQuarantine quarantine;
  const Time now{100s};
  quarantine.ApplyUpdate(Update(kTerm1 + 5), 0, now);
  protocol::SuspectUpdate changes;
  changes.version = kTerm1 + 7;
  changes.requests = {{kRequest + 1, {1, 2, 3}, 60'000}};
  SECTION("from the version held") {
    changes.base = kTerm1 + 5;
    quarantine.ApplyUpdate(changes, 0, now);
    CHECK(quarantine.Judge(kRequest) == Verdict::kBlocked);
    CHECK(quarantine.Judge(kRequest + 1) == Verdict::kBlocked);
    CHECK(quarantine.version() == kTerm1 + 7);
  }
  SECTION("from an earlier version, with a removal") {
    changes.base = kTerm1 + 2;
    changes.removed = {kRequest};
    quarantine.ApplyUpdate(changes, 0, now);
    CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
    CHECK(quarantine.Judge(kRequest + 1) == Verdict::kBlocked);
  }
  SECTION("from a version that was missed, or of another term") {
    changes.base = GENERATE(kTerm1 + 6, kTerm2 + 1);
    if (changes.base > kTerm2)
      changes.version = kTerm2 + 2;
    quarantine.ApplyUpdate(changes, 0, now);
    CHECK(quarantine.version() == kTerm1 + 5);
    CHECK(quarantine.Judge(kRequest + 1) == Verdict::kClear);
  }
}

// Guards against a request that stays blocked for minutes, as the removal was
// lost with the former leader.
TEST_CASE("A new leader's list withdraws suspicions that it knows of") {
  RequestQuarantine quarantine;
  const Time now{100s};
  quarantine.ApplyUpdate(Update(kTerm1 + 5), 0, now);
  protocol::SuspectUpdate list;
  list.version = kTerm2 + 1;
  list.removed = {kRequest};
  quarantine.ApplyUpdate(list, 0, now);
  CHECK(quarantine.Judge(kRequest) == Verdict::kClear);
}

}  // namespace jacinth::quarantine
