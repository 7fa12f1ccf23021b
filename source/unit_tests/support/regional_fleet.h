#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "core/steering/nearest_entries.h"
#include "unit_tests/support/narrow_fleet.h"

namespace jacinth::test {

/// Entries in regions and failure domains that are stopped and started again.
class RegionalFleet {
 public:
  static constexpr int kRegions = 3;
  static constexpr int kDomainsPerRegion = 3;
  /// Addresses that callers take from one answer.
  static constexpr std::size_t kMaxAddresses = 64;
  /// Time that the messages of an entry that starts wait at its link: it gets
  /// all tables there, beside other traffic.
  static constexpr Duration kStartLinkDelay = 500ms;

  explicit RegionalFleet(int entries_per_region)
      : entries_per_region_(entries_per_region),
        fleet_(kRegions * entries_per_region) {
    fleet_.Change({{"service/s", {{"probe_interval_ms", "0"}}},
                   {"route/safe",
                    {{"host", "h"},
                     {"path_prefix", "/"},
                     {"execution", "repeatable"},
                     {"service", "s"}}}});
    protocol::ListedEndpoint endpoint;
    endpoint.id = "i-1";
    endpoint.started_ms = 1;
    endpoint.service = "s";
    endpoint.address = "10.0.0.1:8080";
    endpoint.slots = 6;
    fleet_.ListEndpoints({endpoint});
    for (int i = 0; i < kRegions * entries_per_region; ++i)
      Start(i, Duration{0});
    fleet_.Run(5s);
  }

  /// Indices of the first entries of the first region.
  static std::vector<int> First(int count) {
    std::vector<int> indices(static_cast<std::size_t>(count));
    std::iota(indices.begin(), indices.end(), 0);
    return indices;
  }

  void Start(int index, Duration link_delay = kStartLinkDelay) {
    entry::EntryOptions options = EntryDriver::DefaultOptions();
    const int region = index / entries_per_region_;
    options.self.id = "e" + std::to_string(index);
    options.self.incarnation = ++incarnations_;
    options.self.region = "region-" + std::to_string(region);
    options.self.failure_domain =
        options.self.region + "-" + std::to_string(index % kDomainsPerRegion);
    options.self.address = options.self.id;
    options.heartbeat = 300ms;
    options.control_timeout = 2s;
    options.can_list_endpoints = true;
    NarrowEntry& entry = Entry(index);
    entry.driver = std::make_unique<EntryDriver>(options);
    entry.deliveries.clear();
    entry.link_delay = link_delay;
    entry.is_down = false;
  }

  /// Ends the process of an entry.
  void End(int index) { Entry(index).is_down = true; }

  void Run(Duration duration) {
    for (Duration run{0}; run < duration; run += NarrowFleet::kStep) {
      fleet_.Run(NarrowFleet::kStep);
      CountAnswers();
    }
  }

  /// Stops the entries as planned, and starts each again when it has ended.
  void Restart(const std::vector<int>& indices) {
    for (const int index : indices)
      Entry(index).driver->Step(entry::StopRequested{});
    std::vector<int> stopping = indices;
    while (!stopping.empty()) {
      Run(NarrowFleet::kStep);
      std::erase_if(stopping, [&](int index) {
        if (!Entry(index).driver->stopped)
          return false;
        Start(index);
        return true;
      });
    }
  }

  /// Stops the entries as planned, and doesn't start them again.
  void Stop(const std::vector<int>& indices) {
    for (const int index : indices)
      Entry(index).driver->Step(entry::StopRequested{});
    std::vector<int> stopping = indices;
    while (!stopping.empty()) {
      Run(NarrowFleet::kStep);
      std::erase_if(stopping, [&](int index) {
        if (!Entry(index).driver->stopped)
          return false;
        End(index);
        return true;
      });
    }
  }

  /// Runs until all entries can serve callers.
  void RunUntilReady() {
    const auto is_ready = [](const NarrowEntry& entry) {
      const auto& snapshot = entry.driver->snapshot;
      return snapshot != nullptr && !snapshot->awaits_endpoints;
    };
    const auto& entries = fleet_.entries();
    while (!std::all_of(entries.begin(), entries.end(), is_ready))
      Run(NarrowFleet::kStep);
  }

  /// Returns the share of the first region's callers that answers have sent to
  /// other regions since the last call. Callers use one of the named addresses
  /// at random.
  double TakeShareElsewhere() {
    const double share = answers_ == 0 ? 0 : share_sum_ / answers_;
    share_sum_ = 0;
    answers_ = 0;
    return share;
  }

  /// Returns the entries that a directory names to callers in the first
  /// region.
  std::vector<std::string> NamedBy(int directory) {
    std::vector<std::string> ids;
    for (const auto* entry :
         steering::NearestEntries(*Entry(directory).driver->snapshot,
                                  "region-0", "region-0-0", kMaxAddresses))
      ids.push_back(entry->id);
    return ids;
  }

  NarrowFleet& fleet() { return fleet_; }
  int size() const { return kRegions * entries_per_region_; }

  NarrowEntry& Entry(int index) {
    return fleet_.entries().at(static_cast<std::size_t>(index));
  }

 private:
  void CountAnswers() {
    for (int i = 0; i < entries_per_region_; ++i) {
      const NarrowEntry& directory = Entry(i);
      if (directory.is_down || directory.driver->snapshot == nullptr)
        continue;
      const protocol::EntryStatus& self = directory.driver->snapshot->self;
      const auto named =
          steering::NearestEntries(*directory.driver->snapshot, self.region,
                                   self.failure_domain, kMaxAddresses);
      if (named.empty())
        continue;
      const auto elsewhere = std::count_if(
          named.begin(), named.end(),
          [&](const auto* entry) { return entry->region != self.region; });
      share_sum_ +=
          static_cast<double>(elsewhere) / static_cast<double>(named.size());
      ++answers_;
    }
  }

  int entries_per_region_;
  NarrowFleet fleet_;
  std::uint64_t incarnations_ = 0;
  double share_sum_ = 0;
  int answers_ = 0;
};

}  // namespace jacinth::test
