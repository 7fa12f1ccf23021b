// Upstreams lose some of their answers for some seconds. Are the requests of a
// route that was added later, all for one path, still served afterwards?
#include "upstreams.h"

using namespace stage;

namespace {

struct Count {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  Record record(argv[3]);
  Fleet fleet(argv[1], argv[2], record);
  const bool trouble = HasTrouble();
  constexpr int kControls = 3;
  constexpr int kEntries = 2;
  constexpr int kUpstreams = 12;
  constexpr int kAffected = 7;
  constexpr int kTroubles = 8;
  constexpr int kTroubleMs = 4000;
  if (!fleet.StartPlatform())
    return 2;
  Upstreams upstreams(fleet, record, 40);
  for (int i = 0; i < kUpstreams; ++i) {
    if (!upstreams.Start("board", i % 2 == 0 ? "zone-a" : "zone-b"))
      return 2;
  }
  for (int i = 0; i < kControls; ++i)
    fleet.StartControl(i, true);
  for (int i = 0; i < kEntries; ++i)
    fleet.StartEntry(i);
  std::vector<RouteLine> routes = {{"r-1", "/first/", "safe", "board", 2, 4000}};
  if (fleet.Order("config.replace", Config("00000001", routes, {"board"}),
                  "00000000", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  for (int i = 0; i < kEntries; ++i) {
    if (!fleet.WaitReady(i, NowMs() + 20000))
      Finish(fleet, kControls, kEntries, 2);
  }
  SleepMs(1000);
  routes.push_back({"r-2", "/second/", "safe", "board", 2, 4000});
  if (fleet.Order("config.replace", Config("00000002", routes, {"board"}),
                  "00000001", kControls, NowMs() + 20000).status != 200)
    Finish(fleet, kControls, kEntries, 2);
  SleepMs(4000);  // config_propagation_ms has passed.

  std::atomic<bool> measures{false};
  std::atomic<bool> ends{false};
  Count first;
  Count second;
  // Each client uses one entry and has one request at a time. Those on the
  // first route are for many paths, those on the second for one.
  const auto run_client = [&](bool is_second) {
    for (int n = 0; !ends; ++n) {
      const std::string id =
          std::string(is_second ? "b-" : "a-") + std::to_string(n);
      const std::string target =
          is_second ? "/second/today" : "/first/" + std::to_string(n);
      const bool counts = measures;
      const Message answer =
          Call(fleet.EntryIp(is_second ? 0 : 1), fleet.front_port(), "GET", target,
               {{"Host", "h.example"}, {"X-Attempt-Id", id},
                {"X-Deadline-Ms", "4000"}}, "", 4500);
      record.Line("client sent " + id + ": GET " + target + ", got " +
                  std::to_string(answer.status));
      if (counts) {
        Count& count = is_second ? second : first;
        ++count.sent;
        count.served += answer.status == 200 ? 1 : 0;
      }
      SleepMs(20);
    }
  };
  std::thread first_client(run_client, false);
  std::thread second_client(run_client, true);
  SleepMs(2000);
  for (int n = 0; trouble && n < kTroubles; ++n) {
    record.Line("7 of 12 upstreams lose two in five of their answers");
    upstreams.SetLosesAnswer([](const std::string& upstream,
                                const std::string& attempt) {
      return std::atoi(upstream.c_str() + 2) < kAffected &&
             std::hash<std::string>{}(upstream + attempt) % 5 < 2;
    });
    SleepMs(kTroubleMs);
    record.Line("all answers arrive again");
    upstreams.SetLosesAnswer(nullptr);
    SleepMs(500);
  }
  SleepMs(8000);
  record.Line("steady state: counted from here");
  measures = true;
  SleepMs(20000);
  ends = true;
  first_client.join();
  second_client.join();
  const double first_share =
      first.sent == 0 ? 0 : static_cast<double>(first.served) / first.sent;
  const double second_share =
      second.sent == 0 ? 0 : static_cast<double>(second.served) / second.sent;
  const bool broken = second.sent >= 20 && second_share < first_share / 4;
  const std::string line =
      "first route: " + std::to_string(first.served) + " of " +
      std::to_string(first.sent) + " served; route added later: " +
      std::to_string(second.served) + " of " + std::to_string(second.sent);
  record.Line(line + (broken ? " BROKEN" : ""));
  std::printf("%s\n", line.c_str());
  if (first.sent < 20 || first_share < 0.9)
    Finish(fleet, kControls, kEntries, 2);
  Finish(fleet, kControls, kEntries, broken ? 1 : 0);
}
