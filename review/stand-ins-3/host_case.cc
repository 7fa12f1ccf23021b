// A change of the configuration adds a route whose host is written with capital
// letters. Are requests for that host served?
#include "upstreams.h"

using namespace stage;

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  Record record(argv[3]);
  Fleet fleet(argv[1], argv[2], record);
  const bool trouble = HasTrouble();
  constexpr int kControls = 3;
  constexpr int kEntries = 2;
  if (!fleet.StartPlatform())
    return 2;
  Upstreams upstreams(fleet, record, 30);
  if (!upstreams.Start("ledger", "zone-a") || !upstreams.Start("ledger", "zone-b"))
    return 2;
  for (int i = 0; i < kControls; ++i)
    fleet.StartControl(i, true);
  for (int i = 0; i < kEntries; ++i)
    fleet.StartEntry(i);
  std::vector<RouteLine> routes = {{"r-1", "/first/", "unsafe", "ledger", 2, 6000}};
  if (fleet.Order("config.replace", Config("00000001", routes, {"ledger"}),
                  "00000000", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  for (int i = 0; i < kEntries; ++i) {
    if (!fleet.WaitReady(i, NowMs() + 20000))
      Finish(fleet, kControls, kEntries, 2);
  }
  SleepMs(1000);
  const std::string host = trouble ? "Rota.Example" : "rota.example";
  routes.push_back({"r-2", "/second/", "unsafe", "ledger", 2, 6000, host});
  if (fleet.Order("config.replace", Config("00000002", routes, {"ledger"}),
                  "00000001", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  SleepMs(4000);  // config_propagation_ms has passed.

  int denied = 0;
  int count = 0;
  for (int round = 0; round < 20; ++round) {
    for (int entry = 0; entry < kEntries; ++entry) {
      const std::string id = "a-" + std::to_string(++count);
      const Message answer = Call(
          fleet.EntryIp(entry), fleet.front_port(), "POST", "/second/1",
          {{"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "6000"}},
          "one more order", 7000);
      const bool broken = answer.status >= 300 && answer.status < 500 &&
                          answer.status != 408 && answer.status != 421 &&
                          answer.status != 429;
      denied += broken ? 1 : 0;
      record.Line("client sent " + id + ": POST /second/1, Host: " + host +
                  " to entry-" + std::to_string(entry) + ", got " +
                  std::to_string(answer.status) + "; it ran " +
                  std::to_string(upstreams.RunsOf(id).size()) + " times" +
                  (broken ? " BROKEN" : ""));
      if (answer.status == 0)
        Finish(fleet, kControls, kEntries, 2);
    }
  }
  record.Line("DENIED: " + std::to_string(denied) + " of " +
              std::to_string(count) + " requests, more than 5 break the rule");
  std::printf("%d of %d proper requests denied\n", denied, count);
  Finish(fleet, kControls, kEntries, denied > 5 ? 1 : 0);
}
