#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/metrics/latency_histogram.h"

namespace jacinth::metrics {

/// Holds the counters, gauges and latency histograms of one process.
/// Thread-safe.
///
/// A series is a metric name with optional labels in the Prometheus notation:
/// `jacinth_requests_total{outcome="ran"}`. It is created on first use.
class Registry {
 public:
  /// Adds `increment` to a counter.
  void Count(const std::string& series, std::uint64_t increment = 1);
  void SetGauge(const std::string& series, double value);
  /// Adds `duration` to a histogram.
  void Record(const std::string& series, Duration duration);

  /// Returns all series in the Prometheus text format.
  std::string ToText() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, LatencyHistogram> histograms_;
};

/// Returns the series `name{label="value"}`.
std::string FormatSeries(std::string_view name,
                         std::string_view label,
                         std::string_view value);

}  // namespace jacinth::metrics
