// Two unsafe routes change their services with each other while requests of
// both wait in a machine of the system, as the upstreams have asked it to wait.
// Requests to a third, sound service are under way through the same machine.

#include "common_config.h"
#include "theatre.h"

using namespace theatre;

namespace {

/// Sends a first request and, once `go` is set, a second one on the same
/// connection.
void UseKeptConnection(const std::string& front,
                       int number,
                       const std::atomic<bool>& go,
                       std::atomic<int>& kept,
                       std::atomic<int>& answered,
                       std::atomic<bool>& cut) {
  const int socket = Connect(front);
  if (socket < 0)
    return;
  Reader reader(socket);
  for (const std::string name : {"kept-first-", "kept-second-"}) {
    const std::string id = name + std::to_string(number);
    const bool second = name == "kept-second-";
    while (second && !go)
      Sleep(0.01);
    Note("client sends " + id + " (GET /rota22/1)" +
         (second ? " on the kept connection" : ""));
    SendAll(socket, Bytes("GET /rota22/1 HTTP/1.1",
                          {{"Host", "hulo84.example"},
                           {"X-Attempt-Id", id},
                           {"X-Deadline-Ms", "10000"}},
                          "", false));
    const auto answer = reader.Next(Clock::now() + 10s, true);
    Note(answer ? "client got " + std::to_string(answer->status) + " to " + id
                : "client got no answer to " + id + ": " + reader.why());
    if (!answer) {
      cut = second && reader.why() != "no more bytes in time";
      break;
    }
    (second ? answered : kept) += answer->status == 200 ? 1 : 0;
  }
  ::close(socket);
}

}  // namespace

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
  const auto listed = [&](const std::string& service, int number,
                          int capacity) {
    return Listed{"i-" + service, service, deployment.UpstreamAddress(number),
                  "suva-a",       capacity, "ready",
                  born};
  };
  Upstream alofa(listed("alofa", 1, 2), 1, 0.7);
  Upstream bula(listed("bula", 2, 2), 1, 0.7);
  Upstream cova(listed("cova", 3, 6), 18, 1.2);
  alofa.SetRetryAfter("0.8");
  bula.SetRetryAfter("0.8");
  for (Upstream* upstream : {&alofa, &bula, &cova})
    platform.Set(upstream->entry());
  deployment.StartAll();
  if (deployment.Order("config.replace", "00000000", FirstConfig(), 20) != 200 ||
      !deployment.AwaitReady(2))
    return kCouldNotRun;
  Sleep(4);
  const std::string front = deployment.Front(0);
  const std::string other_front = deployment.Front(1);

  std::atomic<bool> go = false;
  std::atomic<int> kept = 0;
  std::atomic<int> answered = 0;
  constexpr int kKept = 6;
  std::atomic<bool> cut[kKept] = {};
  std::vector<std::thread> clients;
  for (int i = 0; i < kKept; ++i) {
    clients.emplace_back([&, i] {
      UseKeptConnection(front, i, go, kept, answered, cut[i]);
    });
  }
  Sleep(1.6);
  // The other machine's requests fill the upstreams of alofa and bula, which
  // turn away one request each of this machine, and ask it to wait.
  if (trouble) {
    for (int i = 0; i < 3; ++i) {
      clients.emplace_back(
          [&, i] { Visit(other_front, "other-visit-" + std::to_string(i)); });
      clients.emplace_back([&, i] {
        Booking(other_front, "other-booking-" + std::to_string(i));
      });
    }
  }
  Sleep(0.2);
  Message turned_visit;
  Message turned_booking;
  std::thread visit([&] { turned_visit = Visit(front, "turned-visit"); });
  std::thread booking([&] { turned_booking = Booking(front, "turned-booking"); });
  if (trouble) {
    visit.join();
    booking.join();
  } else {
    Sleep(0.02);
  }
  go = true;
  // These two wait in the machine until the upstreams may be asked again.
  Message wait_visit;
  Message wait_booking;
  clients.emplace_back([&] { wait_visit = Visit(front, "wait-visit"); });
  Sleep(0.05);
  clients.emplace_back([&] { wait_booking = Booking(front, "wait-booking"); });
  Sleep(0.15);
  const int changed =
      deployment.Order("config.update", "00000003", SwapConfig(), 4);
  for (std::thread& client : clients)
    client.join();
  if (!trouble) {
    visit.join();
    booking.join();
  }
  Sleep(0.5);
  int passed_on = 0;
  int passed_on_and_cut = 0;
  for (int i = 0; i < kKept; ++i) {
    if (cova.Runs("kept-second-" + std::to_string(i)) == 0)
      continue;
    ++passed_on;
    passed_on_and_cut += cut[i] ? 1 : 0;
  }
  const auto ended = deployment.Ended(deployment.edge(0));
  Note("edge-1 " + (ended ? *ended : std::string("runs")));
  Note(std::to_string(passed_on) +
       " requests were passed on from kept connections to a sound upstream, " +
       std::to_string(answered) + " of them answered, and " +
       std::to_string(passed_on_and_cut) + " cut without an answer");
  const bool turned =
      turned_visit.status == 503 && turned_booking.status == 503;
  if (changed != 200 || kept != kKept || (trouble && !turned)) {
    Note("the stage wasn't set");
    return kCouldNotRun;
  }
  const bool broken = passed_on_and_cut > 3;
  Note(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
