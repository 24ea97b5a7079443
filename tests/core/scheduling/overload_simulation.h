#ifndef AMARANTHLANE_TESTS_CORE_SCHEDULING_OVERLOAD_SIMULATION_H_
#define AMARANTHLANE_TESTS_CORE_SCHEDULING_OVERLOAD_SIMULATION_H_

#include <array>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "core/scheduling/group_scheduler.h"

namespace amaranthlane::scheduling {

// Statements of one kind that arrive at random, with exponentially distributed gaps.
struct Flow {
  Rank rank = Rank::kNormal;
  double floor = 0.0;
  double arrivals_per_second = 100.0;
  // The time between arrival and deadline.
  Duration time_limit = std::chrono::milliseconds(500);
  // The mean service time; each statement takes between half and one and a half times as long.
  Duration service_time = std::chrono::milliseconds(2);
  EndpointSet eligible = kPrimaryBit;
};

// The results of the statements of one rank.
struct FlowResult {
  std::uint64_t arrived = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  Duration slot_time = Duration::zero();
  std::vector<Duration> latencies;

  // The latency within which the given share, 0 to 1, of the served statements was answered.
  Duration Percentile(double share);
};

// Drives a scheduler with random arrivals and random service times.
class OverloadSimulation {
 public:
  OverloadSimulation(const SchedulerSettings& settings, std::uint64_t seed);

  void AddEndpoint(EndpointIndex endpoint, std::uint32_t slots);
  void AddFlow(const Flow& flow);
  // Runs for `span` of simulated time.
  void Run(Duration span);

  GroupScheduler scheduler;
  std::array<FlowResult, kRankCount> results;
  TimePoint now = TimePoint(std::chrono::hours(1));
  // Dispatches of statements that could not meet their deadline even with the shortest possible service time.
  std::uint64_t unmeetable_dispatches = 0;

 private:
  struct Arrival {
    TimePoint time;
    std::size_t flow = 0;
    bool operator>(const Arrival& other) const { return this->time > other.time; }
  };
  struct Completion {
    TimePoint time;
    WorkId id = 0;
    bool operator>(const Completion& other) const { return this->time > other.time; }
  };
  struct Pending {
    std::size_t flow = 0;
    TimePoint arrival;
  };

  void ScheduleArrival(std::size_t flow);
  void Arrive(std::size_t flow);
  void Complete(WorkId id);
  void Apply();

  std::mt19937_64 generator;
  std::vector<Flow> flows;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
  std::map<WorkId, Pending> pending;
  SchedulerActions actions;
  WorkId next_id = 1;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_TESTS_CORE_SCHEDULING_OVERLOAD_SIMULATION_H_
