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

// What one stream's requests came to.
struct StreamCounts {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // Reads that a replica answered.
  std::uint64_t from_replica = 0;
  std::uint64_t retried = 0;
  // Reads of sessions that had written nothing to the group: all that would go to replicas if every session that wrote
  // read from the primary.
  std::uint64_t by_sessions_without_writes = 0;
  std::map<std::string, std::uint64_t> problems;
  // Of requests that were done.
  metrics::LatencyHistogram latency;
  std::chrono::milliseconds max_age_bound{0};
};

// The longest time between two acknowledged writes of a group, the ends of the run included.
struct WriteGap {
  TimePoint last_acknowledged;
  std::chrono::nanoseconds longest{0};

  void Update(TimePoint now);
};

// The outcome of a run.
struct Report {
  Profile profile;
  std::vector<StreamCounts> streams;
  std::map<GroupName, WriteGap> write_gaps;
  std::array<std::uint64_t, kViolationCount> violations{};
  // Writes that were read back at the end, and those that could not be.
  std::uint64_t verified = 0;
  std::uint64_t unverified = 0;

  std::uint64_t TotalViolations() const;
};

nlohmann::json ToJson(const Report& report);
std::string ToText(const Report& report);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_REPORT_H_
