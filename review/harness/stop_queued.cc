// A request that waits in an upstream's queue when the stop of the entry ends.
#include <algorithm>
#include <csignal>
#include <cstdio>

#include "stage.h"

using namespace review;

int main() {
  bool broken = false;
  {
    Stage stage;
    const auto work = [](const Message& request) {
      Work out;
      // The site's longest proof-view is 10.56 s.
      if (request.Target() == "/safe/long")
        out.seconds = 10;
      return out;
    };
    Upstream& upstream = stage.AddUpstream("nahledy", "mor-znojmo", work);
    stage.AddUpstream("razidla", "mor-znojmo", work);
    stage.Start(MakeConfig("00000001"), "/safe/start");

    const auto headers = [](const std::string& id) {
      return Headers{{"Host", "h.example"},
                     {"X-Attempt-Id", id},
                     {"X-Deadline-Ms", "20000"},
                     {"Cookie", "X-Affinity-Key=1"}};
    };
    // Clients of another entry keep the upstream busy.
    std::vector<std::thread> clients;
    for (int i = 0; i < kSlots; ++i) {
      clients.emplace_back([&, i] {
        Socket socket;
        if (socket.Connect(stage.EntryAddress(1), 1))
          socket.Send(MakeRequest("GET", "/safe/long",
                                  headers("busy-" + std::to_string(i))));
        const Message answer = socket.Read(Now() + 20);
        Note("the client of edge-1 has busy-%d: %s", i,
             answer.complete ? answer.start.c_str() : answer.end.c_str());
      });
    }
    SleepFor(0.5);
    const double term = Now();
    std::thread platform([&] {
      if (!Trouble())
        return;
      stage.Signal(stage.entry(0), SIGTERM);
      stage.WaitExit(stage.entry(0), term + 6.0);
    });
    // The client uses an answer of the directory that it got before.
    SleepUntil(term + 0.5);
    Socket socket;
    if (!socket.Connect(stage.EntryAddress(0), 1))
      Impossible("no connection to the entry");
    socket.Send(MakeRequest("GET", "/safe/view", headers("queued")));
    const double sent = Now();
    Note("the client has sent the request queued");
    const Message answer = socket.Read(sent + 20);
    const double ended = Now();
    Note("the client has queued: %s, after %.3f s",
         answer.complete ? answer.start.c_str()
                         : ("no answer, " + answer.end).c_str(),
         ended - sent);
    platform.join();
    for (std::thread& client : clients)
      client.join();
    const auto arrivals = upstream.Arrivals();
    const bool passed_on =
        std::find(arrivals.begin(), arrivals.end(), "queued") != arrivals.end();
    bool ran = false;
    for (const Run& run : upstream.Runs())
      ran |= run.id == "queued";
    if (!passed_on)
      Impossible("the request wasn't passed on");
    // The route's time-out is 8 s.
    broken = !answer.complete && !ran && ended < sent + 7.9;
    if (broken)
      Note("LOST: the request was sent %.3f s after the SIGTERM, had been "
           "passed on and was not at work, and its connection ended %.3f s "
           "after the SIGTERM with no answer",
           sent - term, ended - term);
    if (!broken && !answer.complete)
      Impossible("no answer for another reason");
  }
  Note(broken ? "the rule is broken" : "the rule held");
  std::printf(broken ? "the rule is broken\n" : "the rule held\n");
  return broken ? 1 : 0;
}
