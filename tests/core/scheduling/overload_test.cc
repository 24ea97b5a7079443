#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/scheduling/overload_simulation.h"

namespace amaranthlane::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double SlotTimeShare(const OverloadSimulation& simulation, Rank rank) {
  Duration total = Duration::zero();
  for (const FlowResult& result : simulation.results) {
    total += result.slot_time;
  }
  const Duration own = simulation.results[static_cast<std::size_t>(rank)].slot_time;
  return static_cast<double>(own.count()) / static_cast<double>(total.count());
}

FlowResult& ResultOf(OverloadSimulation& simulation, Rank rank) {
  return simulation.results[static_cast<std::size_t>(rank)];
}

RC_GTEST_PROP(OverloadTest, EveryRankGetsItsFloorWhenAllAreOverloaded, ()) {
  const double normal_floor = *rc::gen::inRange(5, 35) / 100.0;
  const double bulk_floor = *rc::gen::inRange(5, 35) / 100.0;
  OverloadSimulation simulation({}, *rc::gen::arbitrary<std::uint64_t>());
  simulation.AddEndpoint(0, *rc::gen::inRange<std::uint32_t>(1, 6));
  const auto add_flow = [&](Rank rank, double floor) {
    simulation.AddFlow({.rank = rank,
                        .floor = floor,
                        .arrivals_per_second = 6000,
                        .service_time = milliseconds(*rc::gen::inRange(1, 9))});
  };
  add_flow(Rank::kUrgent, 0.0);
  add_flow(Rank::kNormal, normal_floor);
  add_flow(Rank::kBulk, bulk_floor);
  simulation.Run(seconds(4));
  constexpr double kTolerance = 0.03;
  RC_ASSERT(SlotTimeShare(simulation, Rank::kNormal) > normal_floor - kTolerance);
  RC_ASSERT(SlotTimeShare(simulation, Rank::kBulk) > bulk_floor - kTolerance);
  RC_ASSERT(SlotTimeShare(simulation, Rank::kUrgent) > 1.0 - normal_floor - bulk_floor - kTolerance);
}

RC_GTEST_PROP(OverloadTest, UrgentWorkIsServedInTimeUnderLoadOfLowerRanks, ()) {
  OverloadSimulation simulation({}, *rc::gen::arbitrary<std::uint64_t>());
  simulation.AddEndpoint(0, 2);
  // Urgent work needs half of the slot time; the floors leave it seven tenths.
  simulation.AddFlow({.rank = Rank::kUrgent, .arrivals_per_second = 500});
  simulation.AddFlow({.rank = Rank::kNormal, .floor = 0.2, .arrivals_per_second = *rc::gen::inRange(10, 4000) * 1.0});
  simulation.AddFlow({.rank = Rank::kBulk, .floor = 0.1, .arrivals_per_second = *rc::gen::inRange(10, 8000) * 1.0});
  simulation.Run(seconds(4));
  const FlowResult& urgent = ResultOf(simulation, Rank::kUrgent);
  RC_ASSERT(urgent.refused == 0U);
  RC_ASSERT(urgent.late == 0U);
  RC_ASSERT(ResultOf(simulation, Rank::kUrgent).Percentile(0.99) < milliseconds(60));
}

RC_GTEST_PROP(OverloadTest, NoWorkIsDispatchedOnceItsDeadlineIsUnmeetable, ()) {
  SchedulerSettings settings;
  settings.order = *rc::gen::element(QueueOrder::kEarliestDeadline, QueueOrder::kArrival);
  // Until the first answers the scheduler has only this estimate. It is no less than the shortest service time, which
  // is half the mean.
  settings.initial_service_time = milliseconds(3);
  settings.policy = *rc::gen::element(PolicyKind::kFloors, PolicyKind::kStrictPriority, PolicyKind::kFirstCome);
  OverloadSimulation simulation(settings, *rc::gen::arbitrary<std::uint64_t>());
  simulation.AddEndpoint(0, 2);
  simulation.AddEndpoint(1, 2);
  for (const Rank rank : kRanks) {
    simulation.AddFlow({.rank = rank,
                        .floor = 0.1,
                        .arrivals_per_second = *rc::gen::inRange(100, 4000) * 1.0,
                        .time_limit = milliseconds(*rc::gen::inRange(20, 800)),
                        .service_time = milliseconds(*rc::gen::inRange(1, 6)),
                        .eligible = *rc::gen::element(kPrimaryBit, EndpointBit(1), kPrimaryBit | EndpointBit(1))});
  }
  simulation.Run(seconds(2));
  RC_ASSERT(simulation.unmeetable_dispatches == 0U);
}

TEST(OverloadTest, GoodputDoesNotCollapseUnderTenfoldOverload) {
  OverloadSimulation simulation({}, 7);
  simulation.AddEndpoint(0, 2);
  simulation.AddFlow({.rank = Rank::kBulk, .floor = 0.1, .arrivals_per_second = 10000});
  simulation.Run(seconds(4));
  const FlowResult& bulk = ResultOf(simulation, Rank::kBulk);
  // The endpoint can serve 1,000 statements per second.
  EXPECT_GT(bulk.in_time, 3800U);
  EXPECT_LT(bulk.late, bulk.in_time / 50);
}

TEST(OverloadTest, StrictPriorityStarvesLowerRanksWhereFloorsDoNot) {
  for (const PolicyKind policy : {PolicyKind::kStrictPriority, PolicyKind::kFloors}) {
    OverloadSimulation simulation({.policy = policy}, 11);
    simulation.AddEndpoint(0, 2);
    simulation.AddFlow({.rank = Rank::kUrgent, .arrivals_per_second = 4000});
    simulation.AddFlow({.rank = Rank::kBulk, .floor = 0.1, .arrivals_per_second = 400});
    simulation.Run(seconds(4));
    const bool starved = SlotTimeShare(simulation, Rank::kBulk) < 0.01;
    EXPECT_EQ(starved, policy == PolicyKind::kStrictPriority);
  }
}

}  // namespace
}  // namespace amaranthlane::scheduling
