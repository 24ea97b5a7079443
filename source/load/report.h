#ifndef AMARANTHLANE_LOAD_REPORT_H_
#define AMARANTHLANE_LOAD_REPORT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/profile.h"
#include "load/write_history.h"
#include "metrics/latency_histogram.h"

namespace amaranthlane::load {

// Results of one stream's requests.
struct StreamCounts {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // Reads that a replica served.
  std::uint64_t from_replica = 0;
  std::uint64_t retried = 0;
  // Reads by sessions without a done write in the group: the only reads that could go to replicas if sessions that have
  // written always read from the primary.
  std::uint64_t by_sessions_without_writes = 0;
  std::map<std::string, std::uint64_t> problems;
  // Latency of requests that were done.
  metrics::LatencyHistogram latency;
  std::chrono::milliseconds max_age_bound{0};
};

// The longest time without an acknowledged write in a group. Counts the time from the start of the run to the first
// write and from the last write to the end.
struct WriteGap {
  TimePoint last_acknowledged;
  std::chrono::nanoseconds longest{0};

  void Update(TimePoint now);
};

// The results of a run.
struct Report {
  Profile profile;
  std::vector<StreamCounts> streams;
  std::map<GroupName, WriteGap> write_gaps;
  std::array<std::uint64_t, kViolationCount> violations{};
  // Writes that were read back at the end, and writes whose read failed or that were not read back.
  std::uint64_t verified = 0;
  std::uint64_t unverified = 0;

  std::uint64_t TotalViolations() const;
};

nlohmann::json ToJson(const Report& report);
std::string ToText(const Report& report);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_REPORT_H_
