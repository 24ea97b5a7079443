#ifndef AMARANTHLANE_BENCHMARKS_CLOSED_LOOP_H_
#define AMARANTHLANE_BENCHMARKS_CLOSED_LOOP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "metrics/latency_histogram.h"
#include "net/address.h"
#include "net/http_message.h"

// Closed-loop load on one HTTP interface: each client sends its next request when it receives the previous response.
namespace amaranthlane::benchmarks {

struct ClosedLoopPlan {
  net::Address target;
  std::size_t connections = 1;
  // Number of requests before and during the measurement, summed over all connections.
  std::uint64_t warm_up = 0;
  std::uint64_t requests = 0;
  // Creates the request with the given sequence number.
  std::function<net::HttpRequest(std::uint64_t)> request;
};

struct ClosedLoopResult {
  metrics::LatencyHistogram latency;
  std::chrono::nanoseconds elapsed{0};
  std::uint64_t failures = 0;

  double RequestsPerSecond() const;
};

ClosedLoopResult RunClosedLoop(const ClosedLoopPlan& plan);

}  // namespace amaranthlane::benchmarks

#endif  // AMARANTHLANE_BENCHMARKS_CLOSED_LOOP_H_
