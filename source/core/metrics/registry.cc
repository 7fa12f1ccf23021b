#include "core/metrics/registry.h"

#include <sstream>

namespace jacinth::metrics {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

std::string MetricName(const std::string& series) {
  return series.substr(0, series.find('{'));
}

// Returns the labels of `series` without the braces.
std::string MetricLabels(const std::string& series) {
  const std::size_t brace = series.find('{');
  if (brace == std::string::npos)
    return "";
  return series.substr(brace + 1, series.size() - brace - 2);
}

template <typename Map>
void WriteValues(std::ostream& out, const Map& values, const char* type) {
  std::string last_name;
  for (const auto& [series, value] : values) {
    const std::string name = MetricName(series);
    if (name != last_name)
      out << "# TYPE " << name << ' ' << type << '\n';
    last_name = name;
    out << series << ' ' << value << '\n';
  }
}

void WriteHistogram(std::ostream& out,
                    const std::string& series,
                    const LatencyHistogram& histogram) {
  const std::string name = MetricName(series);
  const std::string labels = MetricLabels(series);
  const std::string label_prefix = labels.empty() ? "" : labels + ",";
  const std::string braced_labels = labels.empty() ? "" : "{" + labels + "}";
  for (const auto& bucket : histogram.Buckets()) {
    out << name << "_bucket{" << label_prefix << "le=\""
        << Seconds(bucket.upper_bound) << "\"} " << bucket.cumulative_count
        << '\n';
  }
  out << name << "_bucket{" << label_prefix << "le=\"+Inf\"} "
      << histogram.count() << '\n';
  out << name << "_sum" << braced_labels << ' ' << Seconds(histogram.sum())
      << '\n';
  out << name << "_count" << braced_labels << ' ' << histogram.count() << '\n';
}

}  // namespace

void Registry::Count(const std::string& series, std::uint64_t increment) {
  const std::lock_guard lock(mutex_);
  counters_[series] += increment;
}

void Registry::SetGauge(const std::string& series, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[series] = value;
}

void Registry::Record(const std::string& series, Duration duration) {
  const std::lock_guard lock(mutex_);
  histograms_[series].Record(duration);
}

std::string Registry::ToText() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  WriteValues(out, counters_, "counter");
  WriteValues(out, gauges_, "gauge");
  std::string last_name;
  for (const auto& [series, histogram] : histograms_) {
    const std::string name = MetricName(series);
    if (name != last_name)
      out << "# TYPE " << name << " histogram\n";
    last_name = name;
    WriteHistogram(out, series, histogram);
  }
  return out.str();
}

std::string FormatSeries(std::string_view name,
                         std::string_view label,
                         std::string_view value) {
  std::string series(name);
  series += "{";
  series += label;
  series += "=\"";
  series += value;
  series += "\"}";
  return series;
}

}  // namespace jacinth::metrics
