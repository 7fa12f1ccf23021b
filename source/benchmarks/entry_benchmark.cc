#include <string>

#include <benchmark/benchmark.h>

#include "core/common/hash.h"
#include "core/entry/entry_node.h"

namespace jacinth::entry {
namespace {

// An entry node that has received settings with `endpoints` endpoints of one
// service.
class BenchmarkedEntry {
 public:
  explicit BenchmarkedEntry(std::int64_t endpoints) : node_(Options()) {
    std::string tree =
        "[service/s]\nslots = 6\nprobe_interval_ms = 500\n"
        "[service/s/kind/read]\npath_prefix = /\nrepeatable = true\n";
    for (std::int64_t i = 0; i < endpoints; ++i) {
      tree += "[service/s/endpoint/p" + std::to_string(i) +
              "]\naddress = 10.0." + std::to_string(i / 250) + "." +
              std::to_string(i % 250) +
              ":80\nregion = west\nfailure_domain = a\n";
    }
    node_.Step(Tick{}, now_);
    protocol::HeartbeatReply reply;
    reply.sequence = 1;
    reply.leader = true;
    reply.update = {1, tree, Hash64(tree)};
    node_.Step(MessageReceived{"c1", reply}, now_);
  }

  EntryActions Step(const EntryEvent& event) { return node_.Step(event, now_); }
  void Advance(Duration duration) { now_ += duration; }

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.self.id = "e1";
    options.self.region = "west";
    options.heartbeat = 250ms;
    options.control_timeout = 3s;
    options.max_requests = 128;
    return options;
  }

  Time now_{1000s};
  EntryNode node_;
};

// Measures one tick, of which an entry has 50 per second, with `range(0)`
// endpoints.
void EntryTick(benchmark::State& state) {
  BenchmarkedEntry entry(state.range(0));
  for (auto unused : state) {
    entry.Advance(20ms);
    for (const StartProbe& probe : entry.Step(Tick{}).probes) {
      entry.Step(ProbeEnded{probe.service, probe.endpoint,
                            forwarding::ProbeEnd::kHealthy});
    }
  }
}
BENCHMARK(EntryTick)->Arg(48)->Arg(480)->Arg(4'800);

// Measures the decisions for one request, from its arrival to its answer.
void EntryRequest(benchmark::State& state) {
  BenchmarkedEntry entry(state.range(0));
  RequestArrived arrival;
  arrival.service = "s";
  arrival.method = "GET";
  arrival.path = "/x";
  for (auto unused : state) {
    ++arrival.ticket;
    entry.Step(arrival);
    entry.Step(
        AttemptEnded{arrival.ticket, forwarding::AttemptEnd::kAnswered, {}});
  }
}
BENCHMARK(EntryRequest)->Arg(12)->Arg(48)->Arg(480);

}  // namespace
}  // namespace jacinth::entry
