// Requests that a client sends between 3 s after a SIGTERM and the moment at
// which the entry begins to refuse.
#include <csignal>
#include <cstdio>

#include "stage.h"

using namespace review;

namespace {

struct Sent {
  std::string id;
  double limit = 0;
  double sent = 0;
  double ended = 0;
  Message answer;
};

}  // namespace

int main() {
  bool broken = false;
  {
    Stage stage;
    const auto work = [](const Message& request) {
      Work out;
      // The site's mean of proof-view, and a long die-charge.
      if (request.Target() == "/safe/view")
        out.seconds = 3.52;
      else if (request.Target() == "/unsafe/charge")
        out.seconds = 2.7;
      return out;
    };
    std::vector<Upstream*> upstreams;
    for (const auto& [zone, region] : Zones()) {
      upstreams.push_back(&stage.AddUpstream("nahledy", zone, work));
      upstreams.push_back(&stage.AddUpstream("razidla", zone, work));
    }
    stage.Start(MakeConfig("00000001"), "/safe/start");

    // A client that keeps an answer of the directory for three times its TTL.
    Socket directory;
    if (!directory.Connect(stage.DirectoryAddress(1), 1))
      Impossible("no directory");
    directory.Send(MakeRequest(
        "GET", "/-/resolve?name=h.example&region=cz-morava&zone=mor-znojmo",
        {{"Host", "directory"}}));
    const Message named = directory.Read(Now() + 1);
    Note("the directory answers: %s", named.body.c_str());
    if (named.body.find(stage.EntryAddress(0)) == std::string::npos)
      Impossible("the directory doesn't name the entry");

    const double term = Now();
    if (Trouble())
      stage.Signal(stage.entry(0), SIGTERM);
    std::vector<Sent> sent(6);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      clients.emplace_back([&, i] {
        Sent& request = sent[i];
        const bool safe = i % 2 == 0;
        request.id = "late-" + std::to_string(i);
        request.limit = safe ? 8.0 : 3.0;
        SleepUntil(term + (safe ? 3.03 : 3.13) +
                   0.01 * static_cast<double>(i / 2));
        Socket socket;
        if (!socket.Connect(stage.EntryAddress(0), 1)) {
          request.answer.end = "not connected";
          return;
        }
        socket.Send(MakeRequest(
            safe ? "GET" : "POST", safe ? "/safe/view" : "/unsafe/charge",
            {{"Host", "h.example"},
             {"X-Attempt-Id", request.id},
             {"X-Deadline-Ms", safe ? "20000" : "6000"},
             {"Cookie", "X-Affinity-Key=" + std::to_string(i)}},
            safe ? "" : "{\"die\":1}"));
        request.sent = Now();
        Note("the client has sent %s, %.3f s after the SIGTERM",
             request.id.c_str(), request.sent - term);
        request.answer = socket.Read(request.sent + 20);
        request.ended = Now();
        Note("the client has %s: %s, after %.3f s", request.id.c_str(),
             request.answer.complete ? request.answer.start.c_str()
                                     : ("no answer, " + request.answer.end)
                                           .c_str(),
             request.ended - request.sent);
      });
    }
    if (Trouble())
      stage.WaitExit(stage.entry(0), term + 6.0);
    for (std::thread& client : clients)
      client.join();
    for (const Sent& request : sent) {
      bool passed_on = false;
      for (Upstream* upstream : upstreams) {
        for (const Run& run : upstream->Runs())
          passed_on |= run.id == request.id;
      }
      const bool late = request.sent > term + 3.0;
      const bool in_time = request.ended < request.sent + request.limit - 0.1;
      const bool lost =
          late && passed_on && !request.answer.complete && in_time;
      if (lost)
        Note("LOST: %s was sent %.3f s after the SIGTERM, reached an upstream, "
             "and its connection ended %.3f s after the SIGTERM with no answer",
             request.id.c_str(), request.sent - term, request.ended - term);
      broken |= lost;
    }
  }
  Note(broken ? "the rule is broken" : "the rule held");
  std::printf(broken ? "the rule is broken\n" : "the rule held\n");
  return broken ? 1 : 0;
}
