// An entry of another writer, whose bytes can't be read, stands in the
// platform's list when all processes are killed and come back.

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
  std::vector<std::unique_ptr<Upstream>> upstreams;
  int number = 0;
  for (const std::string service : {"alofa", "bula", "cova"}) {
    for (const std::string zone : {"suva-a", "labasa-a"}) {
      ++number;
      upstreams.push_back(std::make_unique<Upstream>(
          Listed{"i-" + service + std::to_string(number), service,
                 deployment.UpstreamAddress(number), zone, 6, "ready", born},
          18, 0.05));
      platform.Set(upstreams.back()->entry());
    }
  }
  deployment.StartAll();
  if (deployment.Order("config.replace", "00000000", FirstConfig(), 20) != 200 ||
      !deployment.AwaitReady(2))
    return kCouldNotRun;
  Sleep(4);
  constexpr int kRequests = 20;
  int tries = 0;
  const auto serve = [&](const std::string& name) {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = name + "-" + std::to_string(++tries);
      const auto answer = i % 2 == 0 ? Visit(deployment.Front(i / 2 % 2), id)
                                     : Booking(deployment.Front(i / 2 % 2), id);
      served += answer.status == 200 ? 1 : 0;
      Sleep(0.15);
    }
    Note(name + ": " + std::to_string(served) + " of " +
         std::to_string(kRequests) + " served");
    return served;
  };
  const int before = serve("before");
  if (trouble) {
    // Cut off in the middle of a text.
    platform.SetForeign(
        "suva-a",
        "{\"service\":\"cova\",\"address\":\"127.0.0.9:8080\",\"version\":\"v");
    Note("an entry that can't be read stands in the list");
  }
  Sleep(3);
  const int beside = serve("beside");
  const int changed =
      deployment.Order("config.update", "00000003", SwapConfig(), 4);
  Note("all processes are killed, right after the acknowledgement");
  for (auto& node : deployment.nodes)
    deployment.Kill(*node);
  Sleep(0.8);
  for (auto& node : deployment.nodes)
    deployment.Start(*node, false);
  Sleep(15.5);
  const int after = serve("after");
  for (int i = 0; i < 2; ++i)
    Note("edge-" + std::to_string(i + 1) +
         (deployment.IsReady(i) ? " is ready" : " isn't ready"));
  if (changed != 200 || before * 4 < kRequests || beside * 4 < kRequests) {
    Note("the stage wasn't set");
    return kCouldNotRun;
  }
  const bool broken = after * 4 < kRequests;
  Note(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
