// A change of the configuration adds a route for all paths of a host. Is a
// request on it that names one of the system's own paths run, as the route
// says?
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
  // The change. Without the trouble, its route is for a part of the paths.
  const std::string prefix = trouble ? "/" : "/second/";
  routes.push_back({"r-2", prefix, "unsafe", "ledger", 2, 6000});
  if (fleet.Order("config.replace", Config("00000002", routes, {"ledger"}),
                  "00000001", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  SleepMs(4000);  // config_propagation_ms has passed.

  int wrong = 0;
  int count = 0;
  for (int round = 0; round < 5; ++round) {
    for (int entry = 0; entry < kEntries; ++entry) {
      for (const std::string path :
           {"orders/1", "-/orders", "-/ready", "-/metrics", "-/resolve"}) {
        const std::string id = "a-" + std::to_string(++count);
        const std::string target = prefix + path;
        const Message answer = Call(
            fleet.EntryIp(entry), fleet.front_port(), "POST", target,
            {{"Host", "h.example"}, {"X-Attempt-Id", id},
             {"X-Deadline-Ms", "6000"}}, "one more order", 7000);
        const std::size_t runs = upstreams.RunsOf(id).size();
        const bool success = answer.status >= 200 && answer.status < 300;
        const bool signed_answer = answer.Get("X-Response-Signature") ==
                                   Upstreams::SignatureFor(id);
        const bool broken = success && !signed_answer;
        wrong += broken ? 1 : 0;
        record.Line("client sent " + id + ": POST " + target + " to entry-" +
                    std::to_string(entry) + ", got " +
                    std::to_string(answer.status) +
                    (signed_answer ? " with" : " without") +
                    " the signature, " + std::to_string(answer.body.size()) +
                    " bytes; it ran " + std::to_string(runs) + " times" +
                    (broken ? " BROKEN" : ""));
        if (answer.status == 0)
          Finish(fleet, kControls, kEntries, 2);
      }
    }
  }
  record.Line("MIXED broken for " + std::to_string(wrong) + " of " +
              std::to_string(count) + " requests");
  std::printf("%d of %d requests: a success without the upstream's signature\n",
              wrong, count);
  Finish(fleet, kControls, kEntries, wrong > 0 ? 1 : 0);
}
