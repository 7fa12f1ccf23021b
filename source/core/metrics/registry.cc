#include "core/metrics/registry.h"

#include <sstream>

namespace jacinth::metrics {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

std::string NameOfSeries(const std::string& series) {
  return series.substr(0, series.find('{'));
}

// Returns the labels of `series` without the braces.
std::string LabelsOfSeries(const std::string& series) {
  const std::size_t open = series.find('{');
  if (open == std::string::npos)
    return "";
  return series.substr(open + 1, series.size() - open - 2);
}

template <typename Map>
void WriteValues(std::ostream& out, const Map& values, const char* type) {
  std::string last_name;
  for (const auto& [series, value] : values) {
    const std::string name = NameOfSeries(series);
    if (name != last_name)
      out << "# TYPE " << name << ' ' << type << '\n';
    last_name = name;
    out << series << ' ' << value << '\n';
  }
}

void WriteHistogram(std::ostream& out,
                    const std::string& series,
                    const LatencyHistogram& histogram) {
  const std::string name = NameOfSeries(series);
  const std::string labels = LabelsOfSeries(series);
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  for (const auto& bucket : histogram.Buckets()) {
    out << name << "_bucket{" << prefix << "le=\"" << Seconds(bucket.upper)
        << "\"} " << bucket.cumulative << '\n';
  }
  out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << histogram.count()
      << '\n';
  out << name << "_sum" << braces << ' ' << Seconds(histogram.sum()) << '\n';
  out << name << "_count" << braces << ' ' << histogram.count() << '\n';
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
    const std::string name = NameOfSeries(series);
    if (name != last_name)
      out << "# TYPE " << name << " histogram\n";
    last_name = name;
    WriteHistogram(out, series, histogram);
  }
  return out.str();
}

std::string Series(std::string_view name,
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
