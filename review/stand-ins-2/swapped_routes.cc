// Two unsafe routes change their services with each other while requests of
// both wait in a machine of the system, which freezes and wakes again.

#include "common_config.h"
#include "theatre.h"

using namespace theatre;

int main(int argc, char** argv) {
  if (argc != 2)
    return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(argv[1]);
  const bool trouble = HasTrouble();
  Note(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment(2);
  Platform platform(deployment.ListAddress());
  const auto born = UnixMillis() - 60'000;
  const auto listed = [&](const std::string& service, int number) {
    return Listed{"i-" + service, service, deployment.UpstreamAddress(number),
                  "suva-a",       2,       "ready",
                  born};
  };
  constexpr int kQueue = 6;
  constexpr double kWork = 1.2;
  Upstream alofa(listed("alofa", 1), kQueue, kWork);
  Upstream bula(listed("bula", 2), kQueue, kWork);
  Upstream cova(listed("cova", 3), kQueue, kWork);
  for (Upstream* upstream : {&alofa, &bula, &cova}) {
    upstream->TellLoad();
    platform.Set(upstream->entry());
  }
  deployment.StartAll();
  if (deployment.Order("config.replace", "00000000", FirstConfig(), 20) != 200 ||
      !deployment.AwaitReady(2))
    return kCouldNotRun;
  Sleep(4);
  const std::string front = deployment.Front(0);
  const std::string other_front = deployment.Front(1);

  // The machine that will freeze has one request at each upstream when the
  // other machine's requests fill their queues; the answers tell it so.
  std::vector<std::thread> clients;
  Message first_visit;
  Message first_booking;
  std::thread visit([&] { first_visit = Visit(front, "first-visit"); });
  std::thread booking([&] { first_booking = Booking(front, "first-booking"); });
  Sleep(0.2);
  for (int i = 0; i < 7; ++i) {
    clients.emplace_back(
        [&, i] { Visit(other_front, "other-visit-" + std::to_string(i)); });
    clients.emplace_back(
        [&, i] { Booking(other_front, "other-booking-" + std::to_string(i)); });
  }
  visit.join();
  booking.join();
  Sleep(0.02);
  clients.emplace_back([&] { Visit(front, "next-visit"); });
  clients.emplace_back([&] { Booking(front, "next-booking"); });
  Sleep(0.05);
  // These two wait in the machine for room at the upstreams.
  Message wait_visit;
  Message wait_booking;
  clients.emplace_back([&] { wait_visit = Visit(front, "wait-visit"); });
  Sleep(0.03);
  clients.emplace_back([&] { wait_booking = Booking(front, "wait-booking"); });
  Sleep(0.1);
  const bool waits =
      alofa.Runs("wait-visit") == 0 && bula.Runs("wait-booking") == 0;
  if (trouble)
    deployment.Signal(deployment.edge(0), SIGSTOP, "froze");
  const double froze = Now();
  const int changed =
      deployment.Order("config.update", "00000003", SwapConfig(), 0.5);
  Sleep(froze + 0.65 - Now());
  if (trouble)
    deployment.Signal(deployment.edge(0), SIGCONT, "woke");
  for (std::thread& client : clients)
    client.join();
  Sleep(1.5);
  int most = 0;
  for (const std::string id : {"wait-visit", "wait-booking"}) {
    Note(id + " ran " + std::to_string(alofa.Runs(id)) +
         " times at the upstream of alofa and " +
         std::to_string(bula.Runs(id)) + " times at that of bula");
    most = std::max(most, alofa.Runs(id) + bula.Runs(id));
  }
  if (const auto ended = deployment.Ended(deployment.edge(0)))
    Note("edge-1 " + *ended);
  if (changed != 200 || !waits || first_visit.status != 200 ||
      first_booking.status != 200) {
    Note("the stage wasn't set");
    return kCouldNotRun;
  }
  Note(most > 1 ? "BROKEN: a request that isn't idempotent ran more than once"
                : "HELD");
  return most > 1 ? kBroken : kHeld;
}
