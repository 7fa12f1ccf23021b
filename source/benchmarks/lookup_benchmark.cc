#include <string>

#include <benchmark/benchmark.h>

#include "core/settings/tree_validation.h"
#include "core/steering/lookup.h"

namespace jacinth::steering {
namespace {

constexpr int kRegionCount = 5;

// Measures one look-up among `range(0)` entry instances.
void Lookup(benchmark::State& state) {
  SteeringSnapshot snapshot;
  snapshot.fleet = settings::BuildFleetSettings(
      settings::ParseTree("[service/s]\nttl_ms = 1000\n").tree, 1);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    protocol::EntryStatus entry;
    entry.id = "entry-" + std::to_string(i);
    entry.region = "region-" + std::to_string(i % kRegionCount);
    entry.failure_domain = "domain-" + std::to_string(i % 18);
    entry.address = "10.0.0.1:8080";
    snapshot.members.push_back(entry);
  }
  snapshot.self = snapshot.members[0];
  const Time now{1s};
  snapshot.contact_until = now + 1s;
  for (auto unused : state)
    benchmark::DoNotOptimize(AnswerLookup(snapshot, "s", "", 0, now));
}
BENCHMARK(Lookup)->Arg(10)->Arg(100)->Arg(920);

}  // namespace
}  // namespace jacinth::steering
