#ifndef AMARANTHLANE_METRICS_REGISTRY_H_
#define AMARANTHLANE_METRICS_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "metrics/latency_histogram.h"

namespace amaranthlane::metrics {

struct Label {
  std::string name;
  std::string value;

  // clang-tidy mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const Label&) const = default;  // NOLINT(modernize-use-nullptr)
};
using Labels = std::vector<Label>;

// A value that only increases.
struct Counter {
  std::uint64_t value = 0;
};

// A value that increases and decreases.
struct Gauge {
  double value = 0;
};

// All metrics of a process, by name and labels. Returned references stay valid for the lifetime of the registry, so hot
// paths look up a metric only once. Must be used on one thread.
class Registry {
 public:
  Counter& GetCounter(const std::string& name, const std::string& help, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, const std::string& help, const Labels& labels = {});
  LatencyHistogram& GetHistogram(const std::string& name, const std::string& help, const Labels& labels = {});

  // Returns all metrics in the Prometheus text format; histograms are in seconds.
  std::string Expose() const;

 private:
  template <typename Metric>
  struct Family {
    std::string help;
    std::map<Labels, Metric> members;
  };

  std::map<std::string, Family<Counter>> counters;
  std::map<std::string, Family<Gauge>> gauges;
  std::map<std::string, Family<LatencyHistogram>> histograms;
};

}  // namespace amaranthlane::metrics

#endif  // AMARANTHLANE_METRICS_REGISTRY_H_
