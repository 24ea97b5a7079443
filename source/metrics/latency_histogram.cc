#include "metrics/latency_histogram.h"

#include <algorithm>

namespace amaranthlane::metrics {

namespace {

constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100.0;
constexpr unsigned kBucketCount = 140;  // 20 per decade

double ToSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

std::chrono::nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(boost::histogram::make_histogram(Axis(kBucketCount, kMinSeconds, kMaxSeconds))) {}

void LatencyHistogram::Add(std::chrono::nanoseconds duration) {
  this->histogram(ToSeconds(duration));
  ++this->count;
  this->sum += duration;
  this->maximum = std::max(this->maximum, duration);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  this->histogram += other.histogram;
  this->count += other.count;
  this->sum += other.sum;
  this->maximum = std::max(this->maximum, other.maximum);
}

std::uint64_t LatencyHistogram::Count() const { return this->count; }

std::chrono::nanoseconds LatencyHistogram::Sum() const { return this->sum; }

std::chrono::nanoseconds LatencyHistogram::Maximum() const { return this->maximum; }

std::chrono::nanoseconds LatencyHistogram::Quantile(double quantile) const {
  const double target_count = quantile * static_cast<double>(this->count);
  double cumulative_count = 0;
  for (auto&& bucket : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
    cumulative_count += *bucket;
    if (cumulative_count >= target_count) {
      return std::min(FromSeconds(std::min(bucket.bin().upper(), kMaxSeconds)), this->maximum);
    }
  }
  return this->maximum;
}

std::uint64_t LatencyHistogram::CountUpTo(std::chrono::nanoseconds bound) const {
  double cumulative_count = 0;
  for (auto&& bucket : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
    if (bucket.bin().upper() <= ToSeconds(bound)) {
      cumulative_count += *bucket;
    }
  }
  return static_cast<std::uint64_t>(cumulative_count);
}

}  // namespace amaranthlane::metrics
