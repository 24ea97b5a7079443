#ifndef AMARANTHLANE_METRICS_LATENCY_HISTOGRAM_H_
#define AMARANTHLANE_METRICS_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <tuple>

namespace amaranthlane::metrics {

// Counts durations in logarithmic buckets from 10 microseconds to 100 seconds.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(std::chrono::nanoseconds duration);
  void Merge(const LatencyHistogram& other);

  std::uint64_t Count() const;
  std::chrono::nanoseconds Sum() const;
  std::chrono::nanoseconds Maximum() const;

  // The upper bound of the bucket that contains the given quantile (0 to 1), at most the largest duration.
  std::chrono::nanoseconds Quantile(double quantile) const;

  // The number of durations up to `bound`. Exact if `bound` is a bucket boundary; otherwise the durations in the bucket
  // that contains `bound` are not counted.
  std::uint64_t CountUpTo(std::chrono::nanoseconds bound) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram;
  std::uint64_t count = 0;
  std::chrono::nanoseconds sum{0};
  std::chrono::nanoseconds maximum{0};
};

}  // namespace amaranthlane::metrics

#endif  // AMARANTHLANE_METRICS_LATENCY_HISTOGRAM_H_
