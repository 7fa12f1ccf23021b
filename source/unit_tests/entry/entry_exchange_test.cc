#include <algorithm>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {

/// Puts a node into states that its handlers avoid.
class EntryNodePeer {
 public:
  static void EnqueueAgain(EntryNode& node, RequestTicket ticket) {
    const RequestRecord& record = node.requests_.at(ticket);
    ServiceState& service_state = node.services_.at(record.service);
    service_state.queue.Enqueue(ticket, record.kind.name, record.wait_until);
  }
};

// Guards against a request that runs twice, should one that an endpoint has got
// be queued again by an error in the node (docs/incidents/swapped-routes.md).
TEST_CASE("A request that is at an endpoint isn't sent to another one") {
  test::EntryDriver driver;
  driver.ApplySettings(test::ServiceSettingsText());
  const RequestTicket ticket = driver.SendRequest("GET", "/x");
  REQUIRE(driver.attempts.size() == 1);
  EntryNodePeer::EnqueueAgain(driver.node, ticket);
  EntryActions actions = driver.node.Step(Tick{}, driver.now);
  CHECK(actions.attempts.empty());
  CHECK(actions.answers.empty());
  const auto logged =
      std::find_if(actions.log_records.begin(), actions.log_records.end(),
                   [](const log::Record& record) {
                     return record.event == "exchange_prevented";
                   });
  REQUIRE(logged != actions.log_records.end());
  CHECK(logged->level == log::Level::kError);
  driver.EndAttempt(driver.attempts[0], forwarding::AttemptEnd::kAnswered);
  CHECK(driver.WasForwarded(ticket));
  CHECK(driver.node.active_requests() == 0);
}

}  // namespace jacinth::entry
