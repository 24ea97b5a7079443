#include "core/promotion/promotion_system.h"

#include <gtest/gtest.h>

#include <chrono>

#include "core/promotion/group_model.h"

namespace amaranthlane::promotion {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PromotionSystemTest, ReplacesUnresponsiveConnectionsWithoutAPromotion) {
  GroupModel model(1);
  model.Run(seconds(1));
  model.Apply({FaultKind::kStallOpenConnections, 0, {}});
  model.Run(seconds(2));
  EXPECT_EQ(model.highest_active_term, 1U);
  EXPECT_FALSE(model.Primary().open_connections_unresponsive);
}

TEST(PromotionSystemTest, ChangesNothingWhileThePlatformIsDownAndResumesWithThePrimary) {
  GroupModel model(2);
  model.Run(seconds(1));
  model.Apply({FaultKind::kPlatformDown, 0, {}});
  model.Apply({FaultKind::kCutFromLeader, 0, {}});
  model.Run(seconds(3));
  EXPECT_EQ(model.system->CurrentReason(), WaitReason::kPlatformUnavailable);
  EXPECT_FALSE(model.system->MaySend());
  const std::uint64_t before = model.acknowledged_count;
  model.Apply({FaultKind::kReconnectLeader, 0, {}});
  model.Run(seconds(2));
  EXPECT_GT(model.acknowledged_count, before);
  EXPECT_EQ(model.highest_active_term, 1U);
  EXPECT_EQ(model.updates_sent, 0U);
}

TEST(PromotionSystemTest, SettlesAnUnansweredUpdateByReading) {
  GroupModel model(3);
  model.Run(seconds(1));
  model.Apply({FaultKind::kLosePlatformReply, 0, {}});
  model.Apply({FaultKind::kKill, 0, {}});
  model.Run(seconds(3));
  EXPECT_EQ(model.highest_active_term, 2U);
  EXPECT_EQ(model.updates_sent, 1U);
}

TEST(PromotionSystemTest, ANewLeaderReportsWhyItWaits) {
  GroupModel model(4);
  model.Run(seconds(1));
  model.Apply({FaultKind::kKill, 0, {}});
  model.Apply({FaultKind::kKill, 1, {}});
  model.Apply({FaultKind::kReplaceLeader, 0, {}});
  model.Run(seconds(2));
  EXPECT_EQ(model.system->CurrentReason(), WaitReason::kTooFewInstancesAnswered);
  model.Apply({FaultKind::kRestart, 1, {}});
  model.Run(seconds(2));
  EXPECT_EQ(model.highest_active_term, 2U);
  EXPECT_TRUE(model.violations.empty());
}

TEST(PromotionSystemTest, MovesThePrimaryOffALeavingInstance) {
  GroupModel model(5);
  model.Run(seconds(1));
  const EndpointName old = model.Primary().name;
  model.Apply({FaultKind::kToggleLeaving, 0, {}});
  model.Run(seconds(2));
  EXPECT_NE(model.system->Primary(), old);
  EXPECT_TRUE(model.violations.empty());
}

TEST(PromotionSystemTest, CancelsAPlannedChangeWhenThePlatformIsDown) {
  GroupModel model(6);
  model.Run(seconds(1));
  model.Apply({FaultKind::kPlatformDown, 0, {}});
  model.Apply({FaultKind::kPromote, 0, {}});
  model.Run(seconds(1));
  ASSERT_EQ(model.planned_outcomes, std::vector{PlannedOutcome::kTimedOut});
  EXPECT_TRUE(model.system->MaySend());
}

TEST(AcknowledgementGuardTest, RefusesOtherTermsAndCommitsAfterTheFreeze) {
  AcknowledgementGuard guard;
  EXPECT_FALSE(guard.MayAcknowledge(1, {1, 1}));
  guard.Unfreeze(2);
  EXPECT_FALSE(guard.MayAcknowledge(1, {1, 1}));
  EXPECT_TRUE(guard.MayAcknowledge(2, {2, 5}));
  guard.Freeze();
  EXPECT_FALSE(guard.MayAcknowledge(2, {2, 6}));
  EXPECT_EQ(guard.Bounds().own, (LogPosition{2, 5}));
}

TEST(GroupObjectAccessTest, SendsAnUnansweredUpdateAgainOnlyWhileTheObjectIsUnchanged) {
  const TimePoint now{seconds(1)};
  GroupObjectAccess access({milliseconds(500), milliseconds(50), seconds(1)});
  RequestId last_request = 0;
  replicas::GroupRecord wanted;
  wanted.update_id = "x-1";
  access.Update(now, 7, wanted);
  ASSERT_EQ(access.TakeDue(now, last_request).size(), 1U);
  access.OnOutcomeUnknown("x-1", now);
  EXPECT_FALSE(access.TakeResult());
  const auto read = access.TakeDue(now, last_request);
  access.OnRead({std::get<ReadGroupObject>(read.at(0)).request, 7, {}}, now);
  const auto again = access.TakeDue(now, last_request);
  EXPECT_EQ(std::get<UpdateGroupObject>(again.at(0)).expected_version, 7U);
  // The second attempt conflicts with the first one, which took effect.
  access.OnConflict({"x-1", 8, wanted});
  EXPECT_TRUE(access.TakeResult()->applied);
}

}  // namespace
}  // namespace amaranthlane::promotion
