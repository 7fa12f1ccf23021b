#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;
using test::ServiceSettingsText;

constexpr Duration kSleep = 5s;

bool IsInContact(const EntryDriver& driver) {
  return driver.now < driver.snapshot->contact_until;
}

}  // namespace

// Guards against an entry that handles what comes first after its machine was
// suspended, before any tick, as if no time had passed.
TEST_CASE("The first request after a suspension finds no contact") {
  EntryDriver driver;
  driver.ApplySettings(ServiceSettingsText());
  REQUIRE(IsInContact(driver));
  driver.now += kSleep;
  CHECK_FALSE(IsInContact(driver));
  const auto* refusal =
      driver.FindRefusal(driver.SendRequest("POST", "/", "k"));
  REQUIRE(refusal != nullptr);
  CHECK(refusal->error.kind == ErrorKind::kControlUnreachable);
  driver.SendRequest("GET", "/");
  CHECK(driver.attempts.size() == 1);
}

// Guards against an entry that takes an answer which waited for it meanwhile
// for a sign that the leader is in touch.
TEST_CASE("An answer from before a suspension gives no contact") {
  EntryDriver driver;
  driver.ApplySettings(ServiceSettingsText());
  driver.AdvanceTime(100ms);
  driver.now += kSleep;
  driver.AnswerHeartbeat();
  CHECK_FALSE(IsInContact(driver));
  driver.AdvanceTime(100ms);
  driver.AnswerHeartbeat();
  CHECK(IsInContact(driver));
}

}  // namespace jacinth::entry
