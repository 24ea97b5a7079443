#include "metrics/registry.h"

#include <gtest/gtest.h>

namespace amaranthlane::metrics {
namespace {

TEST(LatencyHistogramTest, QuantilesAreUpperBoundsOfBuckets) {
  LatencyHistogram histogram;
  for (int milliseconds = 1; milliseconds <= 100; ++milliseconds) {
    histogram.Add(std::chrono::milliseconds(milliseconds));
  }
  EXPECT_GE(histogram.Quantile(0.5), std::chrono::milliseconds(50));
  EXPECT_LE(histogram.Quantile(0.5), std::chrono::milliseconds(57));
  EXPECT_EQ(histogram.Quantile(1.0), std::chrono::milliseconds(100));
}

TEST(RegistryTest, WritesCountersAndHistogramsWithEscapedLabels) {
  Registry registry;
  registry.GetCounter("requests_total", "Requests.", {{"kind", "a\"b"}}).value = 3;
  registry.GetHistogram("latency_seconds", "Latency.").Add(std::chrono::milliseconds(5));
  const std::string text = registry.Expose();
  EXPECT_NE(text.find("requests_total{kind=\"a\\\"b\"} 3\n"), std::string::npos);
  EXPECT_NE(text.find("latency_seconds_bucket{le=\"0.003\"} 0\n"), std::string::npos);
  EXPECT_NE(text.find("latency_seconds_bucket{le=\"0.01\"} 1\n"), std::string::npos);
}

}  // namespace
}  // namespace amaranthlane::metrics
