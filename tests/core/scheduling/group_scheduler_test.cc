#include "core/scheduling/group_scheduler.h"

#include <gtest/gtest.h>

#include "core/scheduling/scheduling_errors.h"

namespace amaranthlane::scheduling {
namespace {

using std::chrono::milliseconds;

class GroupSchedulerTest : public testing::Test {
 protected:
  GroupSchedulerTest() { this->ResetScheduler({}); }

  // Creates a new scheduler with a primary that has one slot.
  void ResetScheduler(const SchedulerSettings& settings) {
    this->scheduler = std::make_unique<GroupScheduler>(settings);
    this->scheduler->SetSlots(0, 1);
    this->scheduler->SetPrimary(0);
  }

  WorkItem MakeItem(WorkId id, Rank rank, Duration time_limit = milliseconds(500)) const {
    WorkItem item;
    item.id = id;
    item.rank = rank;
    item.arrival = this->now;
    item.deadline = this->now + time_limit;
    return item;
  }

  void Submit(const WorkItem& item) { this->scheduler->Submit(item, this->now, this->actions); }

  // Returns the ids that are dispatched now.
  std::vector<WorkId> DispatchWaiting() {
    this->scheduler->DispatchWaiting(this->now, this->actions);
    std::vector<WorkId> ids;
    for (const Dispatch& dispatch : this->actions.dispatches) {
      ids.push_back(dispatch.id);
    }
    this->actions.dispatches.clear();
    return ids;
  }

  void Finish(WorkId id, Duration service_time) {
    this->now += service_time;
    this->scheduler->Release(id, /*ran_to_end=*/true, this->now);
  }

  std::unique_ptr<GroupScheduler> scheduler;
  SchedulerActions actions;
  TimePoint now = TimePoint(std::chrono::hours(1));
};

using Ids = std::vector<WorkId>;

TEST_F(GroupSchedulerTest, ServesUrgentFirstAndInOrderOfArrivalWithinARank) {
  this->Submit(this->MakeItem(1, Rank::kBulk));
  this->Submit(this->MakeItem(2, Rank::kUrgent, milliseconds(400)));
  this->now += milliseconds(1);
  this->Submit(this->MakeItem(3, Rank::kUrgent, milliseconds(300)));
  EXPECT_EQ(this->DispatchWaiting(), Ids{2});
  this->Finish(2, milliseconds(2));
  EXPECT_EQ(this->DispatchWaiting(), Ids{3});
}

TEST_F(GroupSchedulerTest, ServesEarliestDeadlineFirstWithinARankIfConfigured) {
  this->ResetScheduler({.order = QueueOrder::kEarliestDeadline});
  this->Submit(this->MakeItem(1, Rank::kBulk));
  this->Submit(this->MakeItem(2, Rank::kUrgent, milliseconds(400)));
  this->Submit(this->MakeItem(3, Rank::kUrgent, milliseconds(300)));
  EXPECT_EQ(this->DispatchWaiting(), Ids{3});
  this->Finish(3, milliseconds(2));
  EXPECT_EQ(this->DispatchWaiting(), Ids{2});
}

TEST_F(GroupSchedulerTest, FirstComeServesInOrderOfArrivalRegardlessOfRank) {
  this->ResetScheduler({.policy = PolicyKind::kFirstCome, .order = QueueOrder::kArrival});
  this->Submit(this->MakeItem(1, Rank::kBulk));
  this->now += milliseconds(1);
  this->Submit(this->MakeItem(2, Rank::kUrgent));
  EXPECT_EQ(this->DispatchWaiting(), Ids{1});
}

TEST_F(GroupSchedulerTest, RefusesOnAdmissionIfTheWaitIsTooLong) {
  for (WorkId id = 1; id <= 20; ++id) {
    this->Submit(this->MakeItem(id, Rank::kNormal, milliseconds(10)));
  }
  ASSERT_FALSE(this->actions.refusals.empty());
  EXPECT_EQ(this->actions.refusals.front().reason, RefusalReason::kWaitTooLong);
  EXPECT_GT(this->actions.refusals.front().retry_at, this->now);
  // Within 10 ms, four statements of 2 ms each fit ahead of the last one.
  EXPECT_EQ(this->scheduler->Waiting(Rank::kNormal), 5U);
}

TEST_F(GroupSchedulerTest, RefusesQueuedWorkOnceItsDeadlineIsUnmeetable) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  ASSERT_EQ(this->DispatchWaiting(), Ids{1});
  this->Submit(this->MakeItem(2, Rank::kUrgent, milliseconds(10)));
  EXPECT_EQ(this->scheduler->NextExpiry(), this->now + milliseconds(8));
  // The slot is still occupied. Even if statement 2 could start now, it would end too late.
  this->now += milliseconds(9);
  EXPECT_EQ(this->DispatchWaiting(), Ids{});
  ASSERT_EQ(this->actions.refusals.size(), 1U);
  EXPECT_EQ(this->actions.refusals[0].reason, RefusalReason::kDeadlineUnmeetable);
}

TEST_F(GroupSchedulerTest, DispatchesNothingThatASlowedEndpointCannotServeInTime) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  ASSERT_EQ(this->DispatchWaiting(), Ids{1});
  this->Submit(this->MakeItem(2, Rank::kUrgent, milliseconds(15)));
  // By the estimate made on admission there would be enough time left.
  this->Finish(1, milliseconds(9));
  EXPECT_EQ(this->DispatchWaiting(), Ids{});
  ASSERT_EQ(this->actions.refusals.size(), 1U);
  EXPECT_EQ(this->actions.refusals[0].reason, RefusalReason::kDeadlineUnmeetable);
}

TEST_F(GroupSchedulerTest, ShedsTheNewestOfTheLowestRankUnderUrgentOverload) {
  for (WorkId id = 1; id <= 4; ++id) {
    this->Submit(this->MakeItem(id, Rank::kBulk, milliseconds(20)));
    this->now += Duration(1);
  }
  for (WorkId id = 11; id <= 16; ++id) {
    this->Submit(this->MakeItem(id, Rank::kUrgent, milliseconds(20)));
  }
  EXPECT_EQ(this->DispatchWaiting(), Ids{11});
  ASSERT_FALSE(this->actions.refusals.empty());
  EXPECT_EQ(this->actions.refusals[0].id, 4U);
  EXPECT_EQ(this->actions.refusals[0].reason, RefusalReason::kShed);
  for (const Refusal& refusal : this->actions.refusals) {
    EXPECT_EQ(refusal.rank, Rank::kBulk);
  }
}

TEST_F(GroupSchedulerTest, ShedsLowerRanksFirstAtTheMemoryLimit) {
  this->ResetScheduler({.memory_limit_bytes = 250});
  const auto submit = [&](WorkId id, Rank rank) {
    WorkItem item = this->MakeItem(id, rank);
    item.bytes = 100;
    this->Submit(item);
  };
  submit(1, Rank::kBulk);
  submit(2, Rank::kUrgent);
  submit(3, Rank::kUrgent);
  submit(4, Rank::kUrgent);
  ASSERT_EQ(this->actions.refusals.size(), 2U);
  EXPECT_EQ(this->actions.refusals[0].id, 1U);
  EXPECT_EQ(this->actions.refusals[0].reason, RefusalReason::kShed);
  EXPECT_EQ(this->actions.refusals[1].id, 4U);
  EXPECT_EQ(this->actions.refusals[1].reason, RefusalReason::kMemoryGuard);
  EXPECT_EQ(this->scheduler->WaitingBytes(), 200U);
}

TEST_F(GroupSchedulerTest, UsesThePrimaryForReadsOnlyIfTheDeadlineRequiresIt) {
  this->scheduler->SetSlots(1, 1);
  for (WorkId id = 1; id <= 8; ++id) {
    WorkItem item = this->MakeItem(id, Rank::kNormal, milliseconds(8));
    item.eligible = EndpointBit(1);
    item.fallback = kPrimaryBit;
    this->Submit(item);
  }
  this->scheduler->DispatchWaiting(this->now, this->actions);
  ASSERT_EQ(this->actions.dispatches.size(), 2U);
  EXPECT_EQ(this->actions.dispatches[0].endpoint, 1);
  EXPECT_EQ(this->actions.dispatches[1].endpoint, 0);
  EXPECT_GT(this->actions.dispatches[1].id, 4U);
}

TEST_F(GroupSchedulerTest, QueuesPrimaryWorkWhileThereIsNoPrimary) {
  this->scheduler->SetPrimary(std::nullopt);
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  EXPECT_EQ(this->DispatchWaiting(), Ids{});
  this->scheduler->SetSlots(1, 1);
  this->scheduler->SetPrimary(1);
  EXPECT_EQ(this->DispatchWaiting(), Ids{1});
  EXPECT_EQ(this->scheduler->Running(1), 1U);
}

TEST_F(GroupSchedulerTest, GivesNoNewWorkToALeavingEndpoint) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  ASSERT_EQ(this->DispatchWaiting(), Ids{1});
  this->scheduler->SetSlots(0, 0);
  this->Submit(this->MakeItem(2, Rank::kUrgent));
  this->Finish(1, milliseconds(2));
  EXPECT_EQ(this->DispatchWaiting(), Ids{});
}

TEST_F(GroupSchedulerTest, ASlowPeriodDoesNotCauseRefusalsForever) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  ASSERT_EQ(this->DispatchWaiting(), Ids{1});
  this->Finish(1, std::chrono::seconds(4));
  this->Submit(this->MakeItem(2, Rank::kUrgent));
  ASSERT_EQ(this->actions.refusals.size(), 1U);
  this->now += std::chrono::seconds(5);
  this->Submit(this->MakeItem(3, Rank::kUrgent));
  EXPECT_EQ(this->DispatchWaiting(), Ids{3});
}

TEST_F(GroupSchedulerTest, WithdrawnWorkIsNeverDispatched) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  EXPECT_TRUE(this->scheduler->Withdraw(1));
  EXPECT_FALSE(this->scheduler->Withdraw(1));
  EXPECT_EQ(this->DispatchWaiting(), Ids{});
}

TEST_F(GroupSchedulerTest, ReportsThePressureToTheEntryVms) {
  for (WorkId id = 1; id <= 40; ++id) {
    this->Submit(this->MakeItem(id, Rank::kBulk, milliseconds(20)));
  }
  const PressureReport report = this->scheduler->Report(this->now);
  EXPECT_LT(report.Of(Rank::kBulk, TargetKind::kPrimary).admission_fraction, 1.0);
  EXPECT_GT(report.Of(Rank::kBulk, TargetKind::kPrimary).estimated_wait, milliseconds(10));
  EXPECT_EQ(report.Of(Rank::kUrgent, TargetKind::kPrimary).admission_fraction, 1.0);
  EXPECT_EQ(report.Of(Rank::kBulk, TargetKind::kReplicas).admission_fraction, 1.0);
}

TEST_F(GroupSchedulerTest, ThrowsOnMisuse) {
  this->Submit(this->MakeItem(1, Rank::kUrgent));
  EXPECT_THROW(this->Submit(this->MakeItem(1, Rank::kUrgent)), DuplicateWorkError);
  EXPECT_THROW(this->scheduler->Release(1, true, this->now), UnknownWorkError);
  EXPECT_THROW(this->scheduler->SetSlots(kMaxEndpoints, 1), EndpointIndexError);
}

}  // namespace
}  // namespace amaranthlane::scheduling
