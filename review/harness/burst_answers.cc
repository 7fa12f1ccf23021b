// Clients behind narrow links receive large answers; there are more of them
// than usual.
#include <algorithm>
#include <atomic>
#include <cstdio>

#include "stage.h"

using namespace review;

namespace {

/// The memory of an `edge` machine of the site.
constexpr double kMemoryMb = 260;
constexpr std::size_t kAnswerBytes = 24U << 20U;
constexpr double kBytesPerSecond = 4.0 * 1024 * 1024;
/// Time between the clients' requests, usually and in the burst (2.5 times as
/// many). In the burst, the answers take 48 % of the machine's link.
constexpr double kUsualGap = 1.0;
constexpr double kBurstGap = 0.4;
constexpr double kSeconds = 6;
constexpr int kSmall = 6;

struct Call {
  std::string id;
  bool kept = false;
  Message answer;
  double sent = 0;
  double ended = 0;
};

}  // namespace

int main() {
  bool broken = false;
  {
    Stage stage;
    const auto work = [](const Message& request) {
      Work out;
      if (request.Target() == "/safe/large")
        out.body.assign(kAnswerBytes, 'x');
      if (request.Target() == "/unsafe/charge")
        out.seconds = 2.6;
      return out;
    };
    std::vector<Upstream*> upstreams;
    for (const auto& [zone, region] : Zones()) {
      upstreams.push_back(&stage.AddUpstream("nahledy", zone, work));
      upstreams.push_back(&stage.AddUpstream("razidla", zone, work));
    }
    stage.Start(MakeConfig("00000001"), "/safe/start");

    std::atomic<bool> done{false};
    double peak = 0;
    std::thread platform([&] {
      peak = stage.WatchMemory(stage.entry(0), kMemoryMb, done);
    });
    const double gap = Trouble() ? kBurstGap : kUsualGap;
    const int large = static_cast<int>(kSeconds / gap);
    // Small requests start every 0.5 s, so that some are always under way.
    const int small = kSmall * 3;
    std::vector<Call> calls(static_cast<std::size_t>(large + small));
    std::vector<std::thread> clients;
    const double start = Now() + 0.5;
    const auto headers = [](const std::string& id) {
      return Headers{{"Host", "h.example"},
                     {"X-Attempt-Id", id},
                     {"X-Deadline-Ms", "20000"},
                     {"Cookie", "X-Affinity-Key=" + id}};
    };
    for (std::size_t i = 0; i < calls.size(); ++i) {
      clients.emplace_back([&, i] {
        Call& call = calls[i];
        const bool is_large = i < static_cast<std::size_t>(large);
        Socket socket;
        if (!socket.Connect(stage.EntryAddress(0), 1, is_large ? 65536 : 0))
          return;
        // A first request makes it a kept connection.
        socket.Send(MakeRequest("GET", "/safe/first",
                                headers("first-" + std::to_string(i))));
        call.kept = socket.Read(Now() + 2).status() == 200;
        call.id = (is_large ? "large-" : "small-") + std::to_string(i);
        const auto number = static_cast<double>(is_large ? i : i - large);
        SleepUntil(start + number * (is_large ? gap : 0.35));
        socket.Send(is_large
                        ? MakeRequest("GET", "/safe/large", headers(call.id))
                        : MakeRequest("POST", "/unsafe/charge",
                                      headers(call.id), "{\"die\":1}"));
        call.sent = Now();
        Note("the client has sent %s", call.id.c_str());
        call.answer =
            socket.Read(call.sent + 20, is_large ? kBytesPerSecond : 0);
        call.ended = Now();
        Note("the client has %s: %s, %zu bytes, %s", call.id.c_str(),
             call.answer.start.c_str(), call.answer.body.size(),
             call.answer.complete ? "complete" : call.answer.end.c_str());
      });
    }
    for (std::thread& client : clients)
      client.join();
    done = true;
    platform.join();
    Note("the entry used %.0f MB at most", peak);
    int lost = 0;
    for (const Call& call : calls) {
      bool passed_on = false;
      for (Upstream* upstream : upstreams) {
        const auto arrivals = upstream->Arrivals();
        passed_on |= std::find(arrivals.begin(), arrivals.end(), call.id) !=
                     arrivals.end();
      }
      const bool is_large = call.id.rfind("large", 0) == 0;
      // The routes' time-outs are 8 s and 3 s.
      const bool cut = call.kept && passed_on && !call.answer.complete &&
                       call.ended < call.sent + (is_large ? 7.9 : 2.9);
      lost += cut ? 1 : 0;
      if (cut)
        Note("LOST: %s came on a kept connection, was passed on to a sound "
             "upstream, and the connection ended with no whole answer",
             call.id.c_str());
    }
    // The rule allows three.
    broken = lost > 3;
    if (!broken && lost > 0)
      Impossible("answers are missing for another reason");
  }
  Note(broken ? "the rule is broken" : "the rule held");
  std::printf(broken ? "the rule is broken\n" : "the rule held\n");
  return broken ? 1 : 0;
}
