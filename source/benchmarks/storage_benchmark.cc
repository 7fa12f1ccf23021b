#include <string>

#include <benchmark/benchmark.h>

#include "core/storage/log_store.h"
#include "unit_tests/support/temporary_folder.h"

namespace jacinth::storage {
namespace {

protocol::LogBatch MakeBatch(std::uint64_t first, std::int64_t entries) {
  protocol::LogBatch batch;
  for (std::int64_t i = 0; i < entries; ++i) {
    batch.entries.push_back({first + static_cast<std::uint64_t>(i), 1,
                             protocol::LogEntryKind::kCommand,
                             std::string(200, 'x')});
  }
  return batch;
}

// Measures one synced write of a batch of `range(0)` entries.
void AppendBatch(benchmark::State& state) {
  const test::TemporaryFolder folder;
  RecoveredLog recovered;
  auto store = LogStore::Open(folder.path(), recovered);
  std::uint64_t next_index = 1;
  for (auto unused : state) {
    benchmark::DoNotOptimize(
        store->Append(MakeBatch(next_index, state.range(0))));
    next_index += static_cast<std::uint64_t>(state.range(0));
  }
  state.counters["entries_per_s"] = benchmark::Counter(
      static_cast<double>(next_index - 1), benchmark::Counter::kIsRate);
}
BENCHMARK(AppendBatch)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

// Measures the recovery of a log of `range(0)` entries.
void Recover(benchmark::State& state) {
  const test::TemporaryFolder folder;
  std::uint64_t bytes = 0;
  {
    RecoveredLog recovered;
    auto store = LogStore::Open(folder.path(), recovered);
    for (std::int64_t i = 0; i < state.range(0); i += 100)
      benchmark::DoNotOptimize(
          store->Append(MakeBatch(static_cast<std::uint64_t>(i) + 1, 100)));
    bytes = store->segment_size();
  }
  for (auto unused : state) {
    RecoveredLog recovered;
    benchmark::DoNotOptimize(LogStore::Open(folder.path(), recovered));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(Recover)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace jacinth::storage
