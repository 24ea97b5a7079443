#include "core/store_sync/store_sync_system.h"

#include <gtest/gtest.h>

namespace amaranthlane::store_sync {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint() + std::chrono::seconds(100);

coordination::HeartbeatReply MakeReply(std::uint64_t version, milliseconds age) {
  coordination::HeartbeatReply reply;
  reply.store.configuration_version = version;
  reply.configuration_age = age;
  reply.directory_age = age;
  return reply;
}

TEST(StoreSyncSystem, ANewerConfigurationIsFetchedFromThePeerThatHasIt) {
  StoreSyncSystem system({});
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(0)), kStart, kStart, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<FetchConfiguration>(actions.front()).address, "member");
}

TEST(StoreSyncSystem, VersionsNeverFall) {
  StoreSyncSystem system({});
  system.SetConfigurationVersion(5);
  system.SetConfigurationVersion(3);
  EXPECT_EQ(system.Versions().configuration_version, 5U);
}

// The age counts from the sending of the heartbeat, as the reply may have been made at any time after it.
TEST(StoreSyncSystem, ACopyIsCurrentAsOfTheMembersAgeBeforeTheHeartbeatWasSent) {
  StoreSyncSystem system({});
  system.SetConfigurationVersion(2);
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(700)), kStart, kStart + milliseconds(400), actions);
  EXPECT_EQ(system.Currency().configuration_at, kStart - milliseconds(700));
}

TEST(StoreSyncSystem, AMemberWithANewerConfigurationConfirmsNothing) {
  StoreSyncSystem system({});
  system.SetConfigurationVersion(1);
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(0)), kStart, kStart, actions);
  EXPECT_EQ(system.Currency().configuration_at, TimePoint());
}

}  // namespace
}  // namespace amaranthlane::store_sync
