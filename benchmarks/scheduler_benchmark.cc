// Measures the scheduler's cost per statement, and the throughput of each scheduling policy under overload. The sizes
// are those of Rack Division: one primary with 2 slots and statements of 2 ms, hence at most 1,000 statements per
// second.
#include <benchmark/benchmark.h>

#include "core/scheduling/overload_simulation.h"
#include "core/sessions/session_token.h"

namespace amaranthlane::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Submits, dispatches and releases one statement while `state.range(0)` others of all ranks wait.
void SubmitDispatchRelease(benchmark::State& state) {
  GroupScheduler scheduler({});
  scheduler.SetSlots(0, 5);
  scheduler.SetSlots(1, 5);
  scheduler.SetSlots(2, 5);
  scheduler.SetPrimary(0);
  SchedulerActions actions;
  TimePoint now(std::chrono::hours(1));
  WorkItem item;
  item.floor = 0.1;
  const auto submit = [&] {
    ++item.id;
    item.rank = kRanks[item.id % kRankCount];
    item.eligible = item.id % 2 == 0 ? kPrimaryBit : EndpointBit(1) | EndpointBit(2);
    item.arrival = now;
    item.deadline = now + std::chrono::hours(2);
    scheduler.Submit(item, now, actions);
  };
  for (std::int64_t count = 0; count < state.range(0); ++count) {
    submit();
  }
  for (auto iteration : state) {
    (void)iteration;
    now += std::chrono::microseconds(50);
    submit();
    scheduler.DispatchWaiting(now, actions);
    for (const Dispatch& dispatch : actions.dispatches) {
      scheduler.Release(dispatch.id, /*ran_to_end=*/true, now);
    }
    actions.Clear();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SubmitDispatchRelease)->Arg(0)->Arg(1000)->Arg(20000);

// Submits one statement that is refused on admission because the queue is full.
void Refuse(benchmark::State& state) {
  GroupScheduler scheduler({});
  scheduler.SetSlots(0, 2);
  scheduler.SetPrimary(0);
  SchedulerActions actions;
  const TimePoint now(std::chrono::hours(1));
  WorkItem item;
  item.rank = Rank::kBulk;
  item.arrival = now;
  item.deadline = now + milliseconds(500);
  for (auto iteration : state) {
    (void)iteration;
    ++item.id;
    scheduler.Submit(item, now, actions);
    actions.Clear();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Refuse);

enum class FloodKind : std::uint8_t { kBulk, kUrgent, kSlight };

// Load of about five times the endpoint's capacity, or slightly above it. Reports the statements per second that are
// served in time and late, and the 99th percentile of latency, for each rank and policy.
void Flood(benchmark::State& state) {
  SchedulerSettings settings;
  settings.policy = static_cast<PolicyKind>(state.range(0));
  settings.order = static_cast<QueueOrder>(state.range(1));
  settings.refuse_unmeetable = state.range(2) != 0;
  const auto flood = static_cast<FloodKind>(state.range(3));
  // Rate of each of the two bulk flows in statements per second, by kind of flood.
  constexpr std::array<double, 3> kBulkRates = {2500.0, 100.0, 240.0};
  constexpr seconds kSpan(20);
  for (auto iteration : state) {
    (void)iteration;
    OverloadSimulation simulation(settings, 42);
    simulation.AddEndpoint(0, 2);
    simulation.AddFlow({.rank = Rank::kUrgent, .arrivals_per_second = flood == FloodKind::kUrgent ? 5000.0 : 300.0});
    simulation.AddFlow({.rank = Rank::kNormal, .floor = 0.2, .arrivals_per_second = 250});
    // Half of the bulk work has a short time limit, half a long one.
    const double bulk = kBulkRates[static_cast<std::size_t>(flood)];
    simulation.AddFlow(
        {.rank = Rank::kBulk, .floor = 0.1, .arrivals_per_second = bulk, .time_limit = milliseconds(100)});
    simulation.AddFlow({.rank = Rank::kBulk, .floor = 0.1, .arrivals_per_second = bulk, .time_limit = seconds(2)});
    simulation.Run(kSpan);
    for (const Rank rank : kRanks) {
      FlowResult& result = simulation.results[static_cast<std::size_t>(rank)];
      const std::string name(RankName(rank));
      state.counters[name + "_in_time"] = static_cast<double>(result.in_time) / kSpan.count();
      state.counters[name + "_late"] = static_cast<double>(result.late) / kSpan.count();
      state.counters[name + "_p99_ms"] = static_cast<double>(result.Percentile(0.99) / milliseconds(1));
    }
  }
}
BENCHMARK(Flood)
    ->ArgNames({"policy", "order", "refuse", "flood"})
    // Minimum shares per rank, with each queue order and each kind of flood.
    ->ArgsProduct({{static_cast<int>(PolicyKind::kFloors)}, {0, 1}, {1}, {0, 1, 2}})
    // Strict priority, with early refusal and without.
    ->ArgsProduct({{static_cast<int>(PolicyKind::kStrictPriority)}, {1}, {0, 1}, {0, 1}})
    // First come, first served, with early refusal and without.
    ->ArgsProduct({{static_cast<int>(PolicyKind::kFirstCome)}, {1}, {0, 1}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Parses a session token of three groups, advances one position and encodes it again.
void RaiseSessionToken(benchmark::State& state) {
  sessions::SessionToken token;
  for (const char* group : {"wrap-register-1", "wrap-register-2", "wrap-register-3"}) {
    token.Merge(group, {.term = 3, .offset = 123456});
  }
  std::string text = token.Encode();
  std::uint64_t offset = 123456;
  for (auto iteration : state) {
    (void)iteration;
    sessions::SessionToken read = sessions::SessionToken::Parse(text);
    read.Merge("wrap-register-1", {.term = 3, .offset = ++offset});
    text = read.Encode();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(RaiseSessionToken);

}  // namespace
}  // namespace amaranthlane::scheduling

BENCHMARK_MAIN();
