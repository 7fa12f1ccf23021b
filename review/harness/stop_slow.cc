// A client on a narrow link is still receiving an answer when the entry, which
// has got SIGTERM, has no other request left.
#include <csignal>
#include <cstdio>

#include "stage.h"

using namespace review;

int main() {
  bool broken = false;
  {
    Stage stage;
    constexpr std::size_t kAnswerBytes = 24U << 20U;
    constexpr double kBytesPerSecond = 4.0 * 1024 * 1024;
    const auto work = [&](const Message& request) {
      Work out;
      if (request.Target() == "/safe/large")
        out.body.assign(kAnswerBytes, 'x');
      return out;
    };
    std::vector<Upstream*> upstreams;
    for (const auto& [zone, region] : Zones()) {
      upstreams.push_back(&stage.AddUpstream("nahledy", zone, work));
      upstreams.push_back(&stage.AddUpstream("razidla", zone, work));
    }
    stage.Start(MakeConfig("00000001"), "/safe/start");

    Socket socket;
    if (!socket.Connect(stage.EntryAddress(0), 1, 64 * 1024))
      Impossible("no connection to the entry");
    socket.Send(MakeRequest("GET", "/safe/large",
                            {{"Host", "h.example"},
                             {"X-Attempt-Id", "large"},
                             {"X-Deadline-Ms", "20000"}}));
    const double sent = Now();
    Note("the client has sent the request large");
    double term = 0;
    std::thread operator_thread([&] {
      SleepUntil(sent + 0.8);
      term = Now();
      if (Trouble())
        stage.Signal(stage.entry(0), SIGTERM);
      if (Trouble())
        stage.WaitExit(stage.entry(0), term + 6.0);
    });
    const Message answer = socket.Read(sent + 20, kBytesPerSecond);
    const double ended = Now();
    operator_thread.join();
    Note("the client has %s, %zu of %zu bytes, %s, after %.3f s",
         answer.start.c_str(), answer.body.size(), kAnswerBytes,
         answer.complete ? "complete" : answer.end.c_str(), ended - sent);
    bool finished = false;
    for (Upstream* upstream : upstreams) {
      for (const Run& run : upstream->Runs())
        finished |= run.id == "large" && run.finished;
    }
    // The route's time-out of 8 s is not reached.
    broken = finished && !answer.complete && ended < sent + 7.9;
    if (broken)
      Note("LOST: the upstream had answered, and the connection ended %.3f s "
           "after the SIGTERM, before the whole answer",
           ended - term);
    if (!broken && !answer.complete)
      Impossible("the answer isn't complete for another reason");
  }
  Note(broken ? "the rule is broken" : "the rule held");
  std::printf(broken ? "the rule is broken\n" : "the rule held\n");
  return broken ? 1 : 0;
}
