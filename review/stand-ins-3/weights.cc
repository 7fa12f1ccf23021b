// A change of the configuration splits a route with large weights. Does each
// part get its share?
#include "upstreams.h"

#include <cmath>

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
  Upstreams upstreams(fleet, record, 20);
  for (const std::string service : {"old", "new"}) {
    if (!upstreams.Start(service, "zone-a") || !upstreams.Start(service, "zone-b"))
      return 2;
  }
  for (int i = 0; i < kControls; ++i)
    fleet.StartControl(i, true);
  for (int i = 0; i < kEntries; ++i)
    fleet.StartEntry(i);
  std::vector<RouteLine> routes = {{"r-1", "/first/", "unsafe", "old", 2, 6000}};
  if (fleet.Order("config.replace", Config("00000001", routes, {"old", "new"}),
                  "00000000", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  for (int i = 0; i < kEntries; ++i) {
    if (!fleet.WaitReady(i, NowMs() + 20000))
      Finish(fleet, kControls, kEntries, 2);
  }
  SleepMs(1000);
  // Three quarters and one quarter.
  const std::string scale = trouble ? "000000" : "";
  routes[0].split = "[{\"service\":\"old\",\"weight\":3" + scale +
                    "},{\"service\":\"new\",\"weight\":1" + scale + "}]";
  if (fleet.Order("config.replace", Config("00000002", routes, {"old", "new"}),
                  "00000001", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  SleepMs(4000);  // config_propagation_ms has passed.

  int ran_old = 0;
  int ran_new = 0;
  int rejected = 0;
  constexpr int kRequests = 400;
  for (int n = 0; n < kRequests; ++n) {
    const std::string id = "a-" + std::to_string(n);
    const Message answer = Call(
        fleet.EntryIp(n % kEntries), fleet.front_port(), "POST",
        "/first/" + std::to_string(n),
        {{"Host", "h.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "6000"}},
        "one more order", 7000);
    const auto runs = upstreams.RunsOf(id);
    if (runs.empty())
      ++rejected;
    else
      ++(runs.front().service == "old" ? ran_old : ran_new);
    record.Line("client sent " + id + ", got " + std::to_string(answer.status) +
                "; it ran at " + (runs.empty() ? "none" : runs.front().service));
    if (answer.status == 0)
      Finish(fleet, kControls, kEntries, 2);
  }
  const double share = static_cast<double>(ran_old) / kRequests;
  const bool broken = rejected == 0 && std::abs(share - 0.75) > 0.2;
  record.Line("old ran " + std::to_string(ran_old) + ", new ran " +
              std::to_string(ran_new) + ", rejected " +
              std::to_string(rejected) + "; share of old " +
              std::to_string(share) + ", due 0.75" +
              (broken ? " BROKEN" : ""));
  std::printf("old %d, new %d, rejected %d of %d\n", ran_old, ran_new, rejected,
              kRequests);
  Finish(fleet, kControls, kEntries, broken ? 1 : 0);
}
