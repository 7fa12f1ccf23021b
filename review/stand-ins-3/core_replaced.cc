// The machines of the core are replaced one after the other, the leader last,
// each only after the one before has had its time. Do the entries still get
// changes of the configuration?
#include "upstreams.h"

using namespace stage;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 2;
constexpr std::int64_t kSuccessorMs = 1000;  // x of replace_core
constexpr std::int64_t kSyncMs = 4000;       // sync_s
constexpr std::int64_t kContactMs = 3000;    // contact_ms
constexpr std::int64_t kPropagationMs = 2500;

// Returns the node that answers a read of the configuration itself; -1 if none
// does.
int FindLeader(Fleet& fleet, const std::vector<int>& live) {
  for (const int i : live) {
    const Message answer =
        Call(fleet.ControlIp(i), fleet.control_port(), "POST",
             "/-/rpc?call=config.get", {{"Host", "x"}}, "", 1000);
    if (answer.status == 200)
      return i;
  }
  return -1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  Record record(argv[3]);
  Fleet fleet(argv[1], argv[2], record);
  const bool trouble = HasTrouble();
  if (!fleet.StartPlatform())
    return 2;
  Upstreams upstreams(fleet, record, 30);
  for (const std::string service : {"old", "new"}) {
    if (!upstreams.Start(service, "zone-a") || !upstreams.Start(service, "zone-b"))
      return 2;
  }
  std::vector<int> live;
  int started = 0;
  for (; started < kControls; ++started) {
    fleet.StartControl(started, true);
    live.push_back(started);
  }
  for (int i = 0; i < kEntries; ++i)
    fleet.StartEntry(i);
  const auto finish = [&](int code) { Finish(fleet, started, kEntries, code); };
  std::vector<RouteLine> routes = {{"r-1", "/first/", "unsafe", "old", 2, 6000}};
  if (fleet.Order("config.replace", Config("00000001", routes, {"old", "new"}),
                  "00000000", live, NowMs() + 20000).status != 200)
    finish(2);
  for (int i = 0; i < kEntries; ++i) {
    if (!fleet.WaitReady(i, NowMs() + 20000))
      finish(2);
  }
  SleepMs(3000);
  // Replaces a machine: gone for good, an empty one comes at another address.
  // Its seeds are three machines of the operator's list.
  const auto replace = [&](int old) {
    record.Line("control-" + std::to_string(old) + " is gone for good");
    fleet.Kill("control-" + std::to_string(old));
    std::erase(live, old);
    SleepMs(kSuccessorMs);
    std::string seeds;
    for (std::size_t i = 0; i < 3; ++i) {
      seeds += std::string(i ? "," : "") + fleet.ControlIp(live[i]) + ":" +
               std::to_string(fleet.control_port());
    }
    fleet.SetSeeds(seeds);
    fleet.StartControl(started, false);
    live.push_back(started++);
    SleepMs(kSyncMs + 2000);
  };
  if (trouble) {
    for (int n = 0; n < kControls - 1; ++n) {
      const int leader = FindLeader(fleet, live);
      record.Line("control-" + std::to_string(leader) + " leads");
      if (leader < 0)
        finish(2);
      // The oldest one that doesn't lead.
      const auto next = std::find_if(live.begin(), live.end(),
                                     [&](int i) { return i != leader; });
      replace(*next);
    }
    const int leader = FindLeader(fleet, live);
    record.Line("control-" + std::to_string(leader) + " leads");
    if (leader < 0)
      finish(2);
    replace(leader);
  }
  SleepMs(kContactMs + 1000);
  const int leader = FindLeader(fleet, live);
  record.Line("control-" + std::to_string(leader) + " leads");

  routes[0].service = "new";
  const Message answer =
      fleet.Order("config.replace", Config("00000002", routes, {"old", "new"}),
                  "00000001", live, NowMs() + 10000);
  if (answer.status != 200)
    finish(2);
  SleepMs(kPropagationMs + 500);
  int stale = 0;
  int count = 0;
  const std::int64_t end = NowMs() + 20000;
  while (NowMs() < end) {
    for (int entry = 0; entry < kEntries; ++entry) {
      const std::string id = "a-" + std::to_string(++count);
      const Message got = Call(
          fleet.EntryIp(entry), fleet.front_port(), "POST", "/first/1",
          {{"Host", "h.example"}, {"X-Attempt-Id", id},
           {"X-Deadline-Ms", "6000"}}, "one more order", 7000);
      const auto runs = upstreams.RunsOf(id);
      const bool broken = !runs.empty() && runs.front().service == "old";
      stale += broken ? 1 : 0;
      record.Line("client sent " + id + " to entry-" + std::to_string(entry) +
                  ", got " + std::to_string(got.status) + "; it ran at " +
                  (runs.empty() ? "none" : runs.front().service) +
                  (broken ? " BROKEN" : ""));
    }
    SleepMs(500);
  }
  for (int i = 0; i < kEntries; ++i) {
    if (fleet.HasEnded("entry-" + std::to_string(i)))
      finish(2);
  }
  record.Line("CONFIG: " + std::to_string(stale) + " of " +
              std::to_string(count) +
              " requests were run by the old service");
  std::printf("%d of %d requests run by the old service\n", stale, count);
  finish(stale > 0 ? 1 : 0);
}
