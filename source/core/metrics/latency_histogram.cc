#include "core/metrics/latency_histogram.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace jacinth::metrics {
namespace {

namespace bh = boost::histogram;

constexpr double kLowestSeconds = 10e-6;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBucketsPerDecade = 10;
constexpr unsigned kDecades = 7;
constexpr double kMicrosPerSecond = 1e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts =
    bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace

struct LatencyHistogram::Impl {
  Counts counts{
      std::make_tuple(
          Axis(kBucketsPerDecade * kDecades, kLowestSeconds, kHighestSeconds)),
      bh::dense_storage<std::uint64_t>()};
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Record(Duration duration) {
  impl_->counts(std::max(Seconds(duration), kLowestSeconds));
  ++count_;
  sum_ += duration;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets;
  const Axis& axis = impl_->counts.axis();
  std::uint64_t cumulative_count = 0;
  for (int i = 0; i < axis.size(); ++i) {
    cumulative_count += impl_->counts.at(i);
    buckets.push_back({FromSeconds(axis.value(i + 1)), cumulative_count});
  }
  return buckets;
}

Duration LatencyHistogram::Quantile(double fraction) const {
  const double target_count = fraction * static_cast<double>(count_);
  for (const Bucket& bucket : Buckets()) {
    if (static_cast<double>(bucket.cumulative_count) >= target_count)
      return bucket.upper_bound;
  }
  return FromSeconds(kHighestSeconds);
}

}  // namespace jacinth::metrics
