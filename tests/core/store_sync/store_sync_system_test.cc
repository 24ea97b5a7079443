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
  StoreSyncSystem system("vm-1", {});
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(0)), kStart, kStart, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<FetchConfiguration>(actions.front()).address, "member");
}

TEST(StoreSyncSystem, VersionsNeverFall) {
  StoreSyncSystem system("vm-1", {});
  system.SetConfigurationVersion(5);
  system.SetConfigurationVersion(3);
  EXPECT_EQ(system.Versions().configuration_version, 5U);
}

// The age counts from the sending of the heartbeat, as the reply may have been made at any time after it.
TEST(StoreSyncSystem, ACopyIsCurrentAsOfTheMembersAgeBeforeTheHeartbeatWasSent) {
  StoreSyncSystem system("vm-1", {});
  system.SetConfigurationVersion(2);
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(700)), kStart, kStart + milliseconds(400), actions);
  EXPECT_EQ(system.Currency().configuration_at, kStart - milliseconds(700));
}

// Ticks for a second; returns whether the system wanted to read the store.
bool ReadsTheStore(StoreSyncSystem& system, bool member, TimePoint from) {
  Actions actions;
  for (TimePoint now = from; now < from + milliseconds(1000); now += milliseconds(10)) {
    system.Tick(member, now, actions);
  }
  return !actions.empty();
}

TEST(StoreSyncSystem, AVmThatNoMemberConfirmsReadsTheStore) {
  StoreSyncSystem system("vm-1", {});
  Actions actions;
  system.OnMemberReply("member", MakeReply(0, milliseconds(0)), kStart, kStart, actions);
  EXPECT_FALSE(ReadsTheStore(system, false, kStart));
  system.OnMemberReply("member", MakeReply(0, milliseconds(1000)), kStart + milliseconds(1000),
                       kStart + milliseconds(1000), actions);
  EXPECT_TRUE(ReadsTheStore(system, false, kStart + milliseconds(1000)));
}

TEST(StoreSyncSystem, AVmThatMembersConfirmReadsNothing) {
  StoreSyncSystem system("vm-1", {});
  Actions actions;
  for (int reply = 0; reply < 10; ++reply) {
    const TimePoint now = kStart + milliseconds(400) * reply;
    system.OnMemberReply("member", MakeReply(0, milliseconds(1000)), now, now, actions);
    system.Tick(false, now, actions);
    system.Tick(false, now + milliseconds(390), actions);
  }
  EXPECT_TRUE(actions.empty());
}

TEST(StoreSyncSystem, AMemberReadsByItsWatchAlone) {
  StoreSyncSystem system("vm-1", {});
  EXPECT_FALSE(ReadsTheStore(system, true, kStart));
  EXPECT_FALSE(ReadsTheStore(system, true, kStart + std::chrono::seconds(5)));
}

TEST(StoreSyncSystem, AMemberWithANewerConfigurationConfirmsNothing) {
  StoreSyncSystem system("vm-1", {});
  system.SetConfigurationVersion(1);
  Actions actions;
  system.OnMemberReply("member", MakeReply(2, milliseconds(0)), kStart, kStart, actions);
  EXPECT_EQ(system.Currency().configuration_at, TimePoint());
}

coordination::HeartbeatReply MakeDirectoryReply(const StoreRevision& revision, const std::string& digest) {
  coordination::HeartbeatReply reply = MakeReply(0, milliseconds(100));
  reply.store.directory_revision = revision;
  reply.store.directory_digest = digest;
  return reply;
}

// Guards against a directory that is kept because a restore of the store gave lower revisions to what came after it.
TEST(StoreSyncSystem, ADirectoryOfALaterEraIsFetchedThoughItsRevisionIsLower) {
  StoreSyncSystem system("vm-1", {});
  system.SetDirectory({1, 90}, "old");
  Actions actions;
  system.OnMemberReply("member", MakeDirectoryReply({2, 40}, "new"), kStart, kStart, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<FetchDirectory>(actions.front()).peer_revision, (StoreRevision{2, 40}));
  EXPECT_EQ(system.Currency().directory_at, TimePoint());
  system.SetDirectory({2, 40}, "new");
  EXPECT_EQ(system.Versions().directory_revision, (StoreRevision{2, 40}));
}

// Guards against the return of a directory from a VM that hasn't heard of the restore yet.
TEST(StoreSyncSystem, ADirectoryOfAnEarlierEraIsNotFetched) {
  StoreSyncSystem system("vm-1", {});
  system.SetDirectory({2, 40}, "new");
  Actions actions;
  system.OnMemberReply("member", MakeDirectoryReply({1, 90}, "old"), kStart, kStart, actions);
  EXPECT_TRUE(actions.empty());
}

}  // namespace
}  // namespace amaranthlane::store_sync
