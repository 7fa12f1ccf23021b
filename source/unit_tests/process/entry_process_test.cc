#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "core/http/connection.h"
#include "unit_tests/support/process_fleet.h"

namespace jacinth {
namespace {

using test::CallerAnswer;
using test::ProcessFleet;

constexpr std::uint32_t kSeed = 20261204;

}  // namespace

TEST_CASE("No request runs twice while entries and replicas are killed") {
  constexpr int kEntries = 3;
  constexpr int kCallers = 4;
  constexpr int kRequests = 300;
  ProcessFleet fleet(kEntries, 3);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> outcomes;
  std::atomic<int> finished_requests{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      std::mt19937 random(kSeed + caller);
      for (int i = 0; i < kRequests; ++i) {
        const std::string key =
            "k" + std::to_string(caller) + "-" + std::to_string(i);
        // Repeats the request with the same key until an answer confirms that
        // it ran.
        for (int attempt = 0; attempt < 8; ++attempt) {
          const CallerAnswer answer =
              fleet.Post(static_cast<int>(random() % kEntries), "/order", key);
          const std::lock_guard lock(mutex);
          outcomes[key].push_back(answer.status == 0 ? "no answer"
                                                     : answer.outcome);
          if (answer.outcome == "ran")
            break;
        }
        ++finished_requests;
      }
    });
  }
  std::mt19937 random(kSeed);
  while (finished_requests < kCallers * kRequests) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const bool entry = random() % 2 == 0;
    const std::string killed_instance =
        entry ? ProcessFleet::EntryId(static_cast<int>(random() % kEntries))
              : ProcessFleet::ReplicaIds()[random() % 3];
    fleet.process(killed_instance).Kill();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fleet.Start(killed_instance);
  }
  for (std::thread& thread : callers)
    thread.join();
  int executed_keys = 0;
  for (const auto& [key, answers] : outcomes) {
    INFO(key);
    const int executions = fleet.ExecutionCount(key);
    REQUIRE(executions <= 1);
    bool all_not_run = true;
    for (const std::string& outcome : answers) {
      all_not_run &= outcome == "not-run";
      if (outcome == "ran")
        REQUIRE(executions == 1);
    }
    if (all_not_run)
      REQUIRE(executions == 0);
    executed_keys += executions;
  }
  CHECK(executed_keys > 0);
}

TEST_CASE("A request repeated through another entry gets the recorded answer") {
  ProcessFleet fleet(2, 2);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  const CallerAnswer first = fleet.Post(0, "/order", "key");
  REQUIRE(first.outcome == "ran");
  const CallerAnswer second = fleet.Post(1, "/order", "key");
  CHECK(second.outcome == "ran");
  CHECK(second.replayed);
  CHECK(second.body == first.body);
  CHECK(fleet.ExecutionCount("key") == 1);
  // A different request with the same key is rejected.
  const CallerAnswer other = fleet.Post(1, "/other", "key");
  CHECK(other.status == 422);
}

// Guards against callers that are believed to be entries, so that they are
// refused as not run (docs/incidents/home.md).
TEST_CASE("A request from a caller that poses as an entry is run") {
  const auto tags = {"e9@x", "e9@x;revision=1", "e9@x;revision=999",
                     "e1;key=7;decision=7;revision=999"};
  ProcessFleet fleet(1, 2);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  for (const std::string tag : tags) {
    CAPTURE(tag);
    http::Request request;
    request.method = "POST";
    request.target = "/v1/services/s/order";
    request.headers = {{"Idempotency-Key", tag}, {"Jacinth-Relayed", tag}};
    request.body = "body";
    const CallerAnswer answer = fleet.SendToEntry(0, request);
    CHECK(answer.outcome == "ran");
    CHECK(fleet.ExecutionCount(tag) == 1);
  }
}

TEST_CASE(
    "A request repeated after its entry was killed has an unknown outcome") {
  ProcessFleet fleet(2, 2);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  CallerAnswer first;
  std::thread caller(
      [&] { first = fleet.Post(0, "/order?sleep_ms=1500", "key"); });
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return fleet.ExecutionCount("key") == 1; }, 5s));
  fleet.process("e1").Kill();
  const CallerAnswer second = fleet.Post(1, "/order?sleep_ms=1500", "key");
  caller.join();
  CHECK(first.status == 0);
  CHECK(second.outcome == "unknown");
  CHECK(fleet.ExecutionCount("key") == 1);
}

TEST_CASE("Repeatable requests are served while control has no quorum") {
  ProcessFleet fleet(1, 1);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  for (const std::string& replica : ProcessFleet::ReplicaIds())
    fleet.process(replica).Kill();
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return fleet.Post(0, "/order", "late").status == 503; }, 5s));
  CHECK(fleet.Post(0, "/order", "later").outcome == "not-run");
  CHECK(fleet.Get(0, "/look").outcome == "ran");
  CHECK(fleet.ExecutionCount("later") == 0);
  // Entries store no settings. One that starts without a quorum can't get
  // confirmed settings and refuses all requests.
  fleet.process("e1").Kill();
  fleet.Start("e1");
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return fleet.Get(0, "/look").status == 503; }, 5s));
  for (const std::string& replica : ProcessFleet::ReplicaIds())
    fleet.Start(replica);
  CHECK(
      ProcessFleet::WaitFor([&] { return fleet.Get(0, "/look").status == 200; },
                            ProcessFleet::kInForceTarget));
}

TEST_CASE("No request fails during a rolling restart of all instances") {
  constexpr int kEntries = 3;
  ProcessFleet fleet(kEntries, 2);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  // Each caller repeats its look-up before the TTL of the last answer expires.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::string> failures;
  std::mutex mutex;
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (int caller = 0; caller < 3; ++caller) {
    callers.emplace_back([&, caller] {
      int selected_entry = caller;
      auto last_lookup = std::chrono::steady_clock::time_point();
      for (int i = 0; !stop; ++i) {
        const auto now = std::chrono::steady_clock::now();
        if (now - last_lookup > std::chrono::milliseconds(200)) {
          for (int entry = 0; entry < kEntries; ++entry) {
            http::Request request;
            request.method = "GET";
            request.target = "/v1/lookup?service=s";
            http::Connection connection(fleet.EntryAddress(entry));
            const auto result =
                connection.Exchange(request, {1s, 2s, 1UL << 16U});
            if (result.end != http::ExchangeEnd::kAnswered ||
                result.response.status != 200)
              continue;
            for (int offset = 0; offset < kEntries; ++offset) {
              const int other = (offset + caller) % kEntries;
              if (result.response.body.find(fleet.EntryAddress(other)) !=
                  std::string::npos)
                selected_entry = other;
            }
            last_lookup = now;
            break;
          }
        }
        const CallerAnswer answer =
            fleet.Get(selected_entry, "/look?sleep_ms=30");
        if (answer.outcome == "ran") {
          ++served;
          continue;
        }
        const std::lock_guard lock(mutex);
        failures.push_back(ProcessFleet::EntryId(selected_entry) + " status " +
                           std::to_string(answer.status) + " " + answer.body);
      }
    });
  }
  const auto restart = [&](const std::string& id) {
    fleet.process(id).Signal(SIGTERM);
    CHECK(fleet.process(id).Wait() == 0);
    fleet.Start(id);
  };
  for (int i = 0; i < kEntries; ++i) {
    restart(ProcessFleet::EntryId(i));
    REQUIRE(ProcessFleet::WaitFor([&] { return fleet.EntryRevision(i) != 0; },
                                  ProcessFleet::kInForceTarget));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  for (const std::string& replica : ProcessFleet::ReplicaIds()) {
    restart(replica);
    REQUIRE(ProcessFleet::WaitFor(
        [&] { return fleet.AdminGet(replica, "/v1/status").status == 200; },
        ProcessFleet::kInForceTarget));
    REQUIRE(
        ProcessFleet::WaitFor([&] { return fleet.FindLeader().has_value(); },
                              ProcessFleet::kInForceTarget));
  }
  stop = true;
  for (std::thread& thread : callers)
    thread.join();
  for (const std::string& failure : failures)
    UNSCOPED_INFO(failure);
  CHECK(failures.empty());
  CHECK(served > 0);
}

TEST_CASE(
    "A draining endpoint gets no new requests and finishes the running ones") {
  ProcessFleet fleet(1, 2);
  fleet.StartAll();
  fleet.ApplySettingsTree();
  CallerAnswer in_flight;
  std::thread caller([&] {
    // The entry prefers endpoint 0, which is in its own region.
    in_flight = fleet.Get(0, "/slow?sleep_ms=2500");
  });
  REQUIRE(ProcessFleet::WaitFor(
      [&] { return fleet.endpoint(0).total_executions() == 1; }, 5s));
  fleet.endpoint(0).SetDraining(true);
  // Target: a draining endpoint gets no new requests after 3 s at most.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const int executions_before = fleet.endpoint(0).total_executions();
  for (int i = 0; i < 20; ++i)
    REQUIRE(fleet.Get(0, "/look").outcome == "ran");
  CHECK(fleet.endpoint(0).total_executions() == executions_before);
  caller.join();
  CHECK(in_flight.outcome == "ran");
}

}  // namespace jacinth
