#include "core/admission/admission_queue.h"

#include <array>
#include <map>
#include <rapidcheck.h>
#include <string>

#include <catch2/catch.hpp>

namespace jacinth::admission {
namespace {

constexpr Time kNow{100s};
constexpr Time kDeadline = kNow + 10s;

settings::ServiceSettings MakeService(int normal_share, int background_share) {
  settings::ServiceSettings service;
  service.normal_share_percent = normal_share;
  service.background_share_percent = background_share;
  for (const Rank rank : kRanks) {
    for (const char* suffix : {"1", "2"}) {
      settings::KindSettings kind;
      kind.name = std::string(RankName(rank)) + suffix;
      kind.rank = rank;
      kind.queue_limit = 1'000;
      kind.concurrency_limit = 1'000;
      service.kinds.push_back(kind);
    }
  }
  return service;
}

class QueueFixture {
 public:
  QueueFixture(int normal_share, int background_share) {
    queue.Update(MakeService(normal_share, background_share));
  }

  void AdmitAndEnqueue(const std::string& kind) {
    REQUIRE(queue.TryAdmit(kind));
    queue.Enqueue(++last_ticket, kind, kDeadline);
    kinds[last_ticket] = kind;
  }

  // Returns the kind of the next request to run, or an empty string.
  std::string NextKind(int slots) {
    const auto ticket = queue.TakeNext(slots);
    return ticket ? kinds.at(*ticket) : "";
  }

  AdmissionQueue queue;
  RequestTicket last_ticket = 0;
  std::map<RequestTicket, std::string> kinds;
};

}  // namespace

TEST_CASE("Ranks are served in order of importance if all have their share") {
  QueueFixture fixture(0, 0);
  fixture.AdmitAndEnqueue("background1");
  fixture.AdmitAndEnqueue("normal1");
  fixture.AdmitAndEnqueue("urgent1");
  CHECK(fixture.NextKind(10) == "urgent1");
  CHECK(fixture.NextKind(10) == "normal1");
  CHECK(fixture.NextKind(10) == "background1");
  CHECK(fixture.NextKind(10).empty());
}

TEST_CASE("Other ranks keep their share during a flood of urgent requests") {
  QueueFixture fixture(20, 10);
  for (int i = 0; i < 50; ++i) {
    fixture.AdmitAndEnqueue("urgent1");
    fixture.AdmitAndEnqueue("normal1");
    fixture.AdmitAndEnqueue("background1");
  }
  std::map<std::string, int> running;
  for (int i = 0; i < 10; ++i)
    ++running[fixture.NextKind(10)];
  CHECK(running["urgent1"] == 7);
  CHECK(running["normal1"] == 2);
  CHECK(running["background1"] == 1);
}

TEST_CASE("A flood of one kind doesn't block another kind of its rank") {
  QueueFixture fixture(0, 0);
  for (int i = 0; i < 50; ++i)
    fixture.AdmitAndEnqueue("urgent1");
  for (int i = 0; i < 5; ++i)
    fixture.AdmitAndEnqueue("urgent2");
  std::map<std::string, int> running;
  for (int i = 0; i < 10; ++i)
    ++running[fixture.NextKind(100)];
  CHECK(running["urgent1"] == 5);
  CHECK(running["urgent2"] == 5);
}

TEST_CASE("The queue and concurrency limits hold for each kind") {
  settings::ServiceSettings service = MakeService(0, 0);
  service.kinds[0].queue_limit = 2;
  service.kinds[0].concurrency_limit = 3;
  const std::string kind = service.kinds[0].name;
  AdmissionQueue queue;
  queue.Update(service);
  int admitted = 0;
  for (; queue.TryAdmit(kind); ++admitted)
    queue.Enqueue(static_cast<RequestTicket>(admitted), kind, kDeadline);
  CHECK(admitted == 3);
  int running = 0;
  while (queue.TakeNext(100)) {
    ++running;
    if (queue.TryAdmit(kind))
      queue.Enqueue(static_cast<RequestTicket>(++admitted), kind, kDeadline);
  }
  CHECK(running == 3);
  CHECK(queue.waiting() == 2);
  CHECK_FALSE(queue.TryAdmit(kind));
  queue.Release(kind, /*running=*/true);
  CHECK(queue.TakeNext(100).has_value());
}

TEST_CASE("Waiting requests are removed at their deadline") {
  QueueFixture fixture(0, 0);
  fixture.AdmitAndEnqueue("urgent1");
  CHECK(fixture.queue.TakeExpired(kDeadline - 1ms).empty());
  CHECK(fixture.queue.TakeExpired(kDeadline).size() == 1);
  CHECK(fixture.queue.waiting() == 0);
}

TEST_CASE("A requeued request is served before others of its kind") {
  QueueFixture fixture(0, 0);
  fixture.AdmitAndEnqueue("urgent1");
  fixture.AdmitAndEnqueue("urgent1");
  const auto first = fixture.queue.TakeNext(10);
  fixture.queue.Requeue(*first, "urgent1", kDeadline);
  CHECK(fixture.queue.TakeNext(10) == first);
}

TEST_CASE(
    "Property: no slot is idle while a request waits, and counts are exact") {
  const bool property_holds = rc::check("queue", [] {
    constexpr int kSlots = 8;
    AdmissionQueue queue;
    const settings::ServiceSettings service = MakeService(20, 10);
    queue.Update(service);
    std::map<RequestTicket, std::string> waiting;
    std::map<RequestTicket, std::string> running;
    RequestTicket last_ticket = 0;
    const auto steps = *rc::gen::container<std::vector<std::array<int, 2>>>(
        200, rc::gen::container<std::array<int, 2>>(
                 rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 6))));
    for (const auto& [operation, kind_index] : steps) {
      const std::string kind = service.kinds[kind_index].name;
      if (operation < 3 && queue.TryAdmit(kind)) {
        queue.Enqueue(++last_ticket, kind, kDeadline);
        waiting[last_ticket] = kind;
      }
      if (operation == 3 && !running.empty()) {
        queue.Release(running.begin()->second, /*running=*/true);
        running.erase(running.begin());
      }
      if (operation == 4 && !running.empty()) {
        const auto [ticket, name] = *running.begin();
        queue.Requeue(ticket, name, kDeadline);
        running.erase(running.begin());
        waiting[ticket] = name;
      }
      while (running.size() < kSlots) {
        const auto ticket = queue.TakeNext(kSlots);
        RC_ASSERT(ticket.has_value() == !waiting.empty());
        if (!ticket)
          break;
        RC_ASSERT(waiting.count(*ticket) == 1U);
        running[*ticket] = waiting.at(*ticket);
        waiting.erase(*ticket);
      }
      RC_ASSERT(queue.waiting() == waiting.size());
    }
  });
  CHECK(property_holds);
}

TEST_CASE(
    "Waiting requests that a rate keeps out are taken, less urgent ones "
    "first") {
  QueueFixture fixture(0, 0);
  for (const char* kind :
       {"background1", "background2", "normal1", "urgent1", "urgent2"})
    fixture.AdmitAndEnqueue(kind);
  SECTION("none if all are taken in time") {
    CHECK(fixture.queue.TakeUnservable(kDeadline - 5s, 1).empty());
    CHECK(fixture.queue.TakeUnservable(kDeadline - 4s, 1).empty());
    CHECK(fixture.queue.waiting() == 5);
  }
  SECTION("those that are not taken in time") {
    CHECK(fixture.queue.TakeUnservable(kDeadline - 2s, 1) ==
          std::vector<RequestTicket>{1, 2});
    CHECK(fixture.NextKind(10) == "urgent1");
  }
  SECTION("all if none is taken in time") {
    CHECK(fixture.queue.TakeUnservable(Time::max(), 0).size() == 5);
    CHECK(fixture.queue.waiting() == 0);
  }
}

}  // namespace jacinth::admission
