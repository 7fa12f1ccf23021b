// Sound upstreams for the scripted cases: each checks who is expected, runs the
// request and answers with its id, a signature and its load.
#pragma once

#include "stage.h"

#include <functional>

namespace stage {

struct Run {
  std::string service;
  std::string upstream;
  std::string method;
  std::string target;
  std::int64_t at_ms = 0;
};

class Upstreams {
 public:
  Upstreams(Fleet& fleet, Record& record, int work_ms)
      : fleet_(fleet), record_(record), work_ms_(work_ms) {}

  // Starts an upstream of `service` and puts it on the platform's list.
  bool Start(const std::string& service, const std::string& zone, int slots = 6) {
    const int index = static_cast<int>(listed_.size());
    const std::string id = "i-" + std::to_string(index);
    servers_.push_back(std::make_unique<Server>(
        fleet_.UpstreamIp(index), fleet_.upstream_port(),
        [this, id, service, slots](Wire& wire) {
          Serve(wire, id, service, slots);
        }));
    listed_.push_back({id, service,
                       fleet_.UpstreamIp(index) + ":" +
                           std::to_string(fleet_.upstream_port()),
                       zone, slots, "ready", 1000});
    fleet_.SetListed(listed_);
    return servers_.back()->ok();
  }
  // Returns where the request with this attempt id ran, in order.
  std::vector<Run> RunsOf(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    return runs_[attempt];
  }
  // While set, an upstream resets the connection in place of the answer to a
  // request that it has run, if this returns true.
  void SetLosesAnswer(
      std::function<bool(const std::string& upstream, const std::string& attempt)>
          loses) {
    const std::lock_guard lock(mutex_);
    loses_answer_ = std::move(loses);
  }
  static std::string SignatureFor(const std::string& attempt) {
    return "s." + attempt;
  }

 private:
  void Serve(Wire& wire,
             const std::string& id,
             const std::string& service,
             int slots) {
    while (auto request = wire.Read(NowMs() + 30000)) {
      const std::string attempt = request->Get("X-Attempt-Id");
      if (request->target == "/health") {
        wire.Write(Answer(200, {{"X-Instance-Id", id}}, ""));
        continue;
      }
      const std::string expected = request->Get("X-Expect-Instance");
      if (!expected.empty() && expected != id) {
        wire.Write(Answer(421, {{"X-Attempt-Id", attempt},
                                {"X-Not-Executed", "1"}}, ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_[attempt].push_back(
            {service, id, request->method, request->target, NowMs()});
      }
      record_.Line("upstream " + id + " of " + service + " runs " + attempt +
                   ": " + request->method + " " + request->target);
      SleepMs(work_ms_);
      bool loses = false;
      {
        const std::lock_guard lock(mutex_);
        loses = loses_answer_ && loses_answer_(id, attempt);
      }
      if (loses) {
        record_.Line("upstream " + id + " loses its answer to " + attempt);
        const linger at_once{1, 0};
        setsockopt(wire.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        return;
      }
      if (!wire.Write(Answer(
              200, {{"X-Attempt-Id", attempt},
                    {"X-Response-Signature", SignatureFor(attempt)},
                    {"X-Server-Load", "0,0," + std::to_string(slots)}},
              "result of " + attempt)))
        return;
    }
  }

  Fleet& fleet_;
  Record& record_;
  int work_ms_;
  std::mutex mutex_;
  std::function<bool(const std::string&, const std::string&)> loses_answer_;
  std::map<std::string, std::vector<Run>> runs_;
  std::vector<Listed> listed_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// Ends all processes and this one.
[[noreturn]] inline void Finish(Fleet& fleet, int controls, int entries, int code) {
  std::fflush(stdout);
  for (int i = 0; i < controls; ++i)
    fleet.Kill("control-" + std::to_string(i));
  for (int i = 0; i < entries; ++i)
    fleet.Kill("entry-" + std::to_string(i));
  std::_Exit(code);
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace stage
