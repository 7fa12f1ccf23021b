#include <random>

#include <benchmark/benchmark.h>

#include "core/steering/block_table.h"

namespace jacinth::steering {
namespace {

constexpr int kSites = 190;
constexpr int kPrefixLength = 24;

std::vector<ClientBlock> MakeBlocks(std::int64_t count) {
  std::vector<ClientBlock> blocks;
  const std::uint64_t address_step =
      (1ULL << 32U) / static_cast<std::uint64_t>(count);
  for (std::int64_t i = 0; i < count; ++i) {
    const auto address = static_cast<std::uint32_t>(
        address_step * static_cast<std::uint64_t>(i));
    blocks.push_back({address & ~0xffU, kPrefixLength,
                      static_cast<RegionIndex>(i * 7 % kSites)});
  }
  return blocks;
}

// Measures one look-up of a random address among `range(0)` blocks.
void FindBlock(benchmark::State& state) {
  const BlockTable table(MakeBlocks(state.range(0)));
  std::mt19937 random_engine(1);
  for (auto unused : state)
    benchmark::DoNotOptimize(table.Find(random_engine()));
  state.counters["ranges"] = static_cast<double>(table.ranges());
  state.counters["bytes"] = static_cast<double>(table.memory_bytes());
}
BENCHMARK(FindBlock)->Arg(44'000)->Arg(440'000)->Arg(4'400'000);

// Measures building a table of `range(0)` blocks.
void BuildBlockTable(benchmark::State& state) {
  const std::vector<ClientBlock> blocks = MakeBlocks(state.range(0));
  for (auto unused : state)
    benchmark::DoNotOptimize(BlockTable(blocks));
}
BENCHMARK(BuildBlockTable)
    ->Arg(44'000)
    ->Arg(440'000)
    ->Arg(4'400'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jacinth::steering
