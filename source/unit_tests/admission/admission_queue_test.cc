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

settings::ServiceSettings Service(int normal_share, int background_share) {
  settings::ServiceSettings service;
  service.normal_share_percent = normal_share;
  service.background_share_percent = background_share;
  for (const Rank rank : kRanks) {
    for (const char* half : {"1", "2"}) {
      settings::KindSettings kind;
      kind.name = std::string(RankName(rank)) + half;
      kind.rank = rank;
      kind.queue_limit = 1'000;
      kind.concurrency_limit = 1'000;
      service.kinds.push_back(kind);
    }
  }
  return service;
}

class Fixture {
 public:
  Fixture(int normal_share, int background_share) {
    queue.Update(Service(normal_share, background_share));
  }

  void Enter(const std::string& kind) {
    REQUIRE(queue.TryEnter(kind));
    queue.Enqueue(++last, kind, kDeadline);
    kinds[last] = kind;
  }

  // Returns the kind of the next request to run, or an empty string.
  std::string Next(int slots) {
    const auto ticket = queue.TakeNext(slots);
    return ticket ? kinds.at(*ticket) : "";
  }

  AdmissionQueue queue;
  RequestTicket last = 0;
  std::map<RequestTicket, std::string> kinds;
};

}  // namespace

TEST_CASE("Urgent requests are served first if all ranks have their share") {
  Fixture fixture(0, 0);
  fixture.Enter("background1");
  fixture.Enter("normal1");
  fixture.Enter("urgent1");
  CHECK(fixture.Next(10) == "urgent1");
  CHECK(fixture.Next(10) == "normal1");
  CHECK(fixture.Next(10) == "background1");
  CHECK(fixture.Next(10).empty());
}

TEST_CASE("Other ranks keep their share during a flood of urgent requests") {
  Fixture fixture(20, 10);
  for (int i = 0; i < 50; ++i) {
    fixture.Enter("urgent1");
    fixture.Enter("normal1");
    fixture.Enter("background1");
  }
  std::map<std::string, int> running;
  for (int i = 0; i < 10; ++i)
    ++running[fixture.Next(10)];
  CHECK(running["urgent1"] == 7);
  CHECK(running["normal1"] == 2);
  CHECK(running["background1"] == 1);
}

TEST_CASE("A flood of one kind doesn't block another kind of its rank") {
  Fixture fixture(0, 0);
  for (int i = 0; i < 50; ++i)
    fixture.Enter("urgent1");
  for (int i = 0; i < 5; ++i)
    fixture.Enter("urgent2");
  std::map<std::string, int> running;
  for (int i = 0; i < 10; ++i)
    ++running[fixture.Next(100)];
  CHECK(running["urgent1"] == 5);
  CHECK(running["urgent2"] == 5);
}

TEST_CASE("The queue and concurrency limits hold for each kind") {
  settings::ServiceSettings service = Service(0, 0);
  service.kinds[0].queue_limit = 2;
  service.kinds[0].concurrency_limit = 3;
  const std::string kind = service.kinds[0].name;
  AdmissionQueue queue;
  queue.Update(service);
  int entered = 0;
  for (; queue.TryEnter(kind); ++entered)
    queue.Enqueue(static_cast<RequestTicket>(entered), kind, kDeadline);
  CHECK(entered == 3);
  int running = 0;
  while (queue.TakeNext(100)) {
    ++running;
    if (queue.TryEnter(kind))
      queue.Enqueue(static_cast<RequestTicket>(++entered), kind, kDeadline);
  }
  CHECK(running == 3);
  CHECK(queue.waiting() == 2);
  CHECK_FALSE(queue.TryEnter(kind));
  queue.Leave(kind, /*running=*/true);
  CHECK(queue.TakeNext(100).has_value());
}

TEST_CASE("Waiting requests are removed at their deadline") {
  Fixture fixture(0, 0);
  fixture.Enter("urgent1");
  CHECK(fixture.queue.TakeExpired(kDeadline - 1ms).empty());
  CHECK(fixture.queue.TakeExpired(kDeadline).size() == 1);
  CHECK(fixture.queue.waiting() == 0);
}

TEST_CASE("A requeued request is served before others of its kind") {
  Fixture fixture(0, 0);
  fixture.Enter("urgent1");
  fixture.Enter("urgent1");
  const auto first = fixture.queue.TakeNext(10);
  fixture.queue.Requeue(*first, "urgent1", kDeadline);
  CHECK(fixture.queue.TakeNext(10) == first);
}

TEST_CASE(
    "Property: no slot is idle while a request waits, and counts are exact") {
  const bool ok = rc::check("queue", [] {
    constexpr int kSlots = 8;
    AdmissionQueue queue;
    const settings::ServiceSettings service = Service(20, 10);
    queue.Update(service);
    std::map<RequestTicket, std::string> waiting;
    std::map<RequestTicket, std::string> running;
    RequestTicket last = 0;
    const auto steps = *rc::gen::container<std::vector<std::array<int, 2>>>(
        200, rc::gen::container<std::array<int, 2>>(
                 rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 6))));
    for (const auto& [what, which] : steps) {
      const std::string kind = service.kinds[which].name;
      if (what < 3 && queue.TryEnter(kind)) {
        queue.Enqueue(++last, kind, kDeadline);
        waiting[last] = kind;
      }
      if (what == 3 && !running.empty()) {
        queue.Leave(running.begin()->second, /*running=*/true);
        running.erase(running.begin());
      }
      if (what == 4 && !running.empty()) {
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
  CHECK(ok);
}

}  // namespace jacinth::admission
