#ifndef AMARANTHLANE_DAEMON_REQUEST_METRICS_H_
#define AMARANTHLANE_DAEMON_REQUEST_METRICS_H_

#include <array>
#include <chrono>

#include "core/types.h"
#include "metrics/registry.h"

namespace amaranthlane::daemon {

// Metrics that an entry VM keeps of its callers' requests.
class RequestMetrics {
 public:
  explicit RequestMetrics(metrics::Registry& registry);

  // Counts a request that has ended, `duration` after its arrival.
  void CountRequest(Rank rank, Outcome outcome, std::chrono::nanoseconds duration);
  // Counts a read that was answered.
  void CountRead(bool from_replica);

 private:
  static constexpr std::size_t kOutcomeCount = 3;

  std::array<std::array<metrics::Counter*, kOutcomeCount>, kRankCount> requests{};
  std::array<metrics::LatencyHistogram*, kRankCount> latency{};
  metrics::Counter* replica_reads;
  metrics::Counter* primary_reads;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_REQUEST_METRICS_H_
