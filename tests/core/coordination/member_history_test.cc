#include "core/coordination/member_history.h"

#include <gtest/gtest.h>

#include "core/coordination/primary_lease.h"

namespace amaranthlane::coordination {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

CoordinationRecord MakeRecord(std::uint64_t epoch, const std::vector<VmName>& members) {
  CoordinationRecord record;
  record.epoch = epoch;
  for (const VmName& member : members) {
    record.members.push_back({member, member});
  }
  return record;
}

class MemberHistoryTest : public testing::Test {
 protected:
  MemberHistoryTest() { this->history.OnAdopted(this->five, kStart); }

  CoordinationSettings settings;
  CoordinationRecord five = MakeRecord(11, {"a", "b", "c", "d", "e"});
  MemberHistory history{settings};
};

// Guards against a process that relies on a record though it doesn't know which one a restore may bring back.
TEST_F(MemberHistoryTest, CoversNothingUntilTheRecordHasOutlastedTheOldestCopy) {
  const std::set<VmName> all = {"a", "b", "c", "d", "e"};
  EXPECT_FALSE(this->history.CoversAllSets(all, kStart + this->settings.max_copy_age - seconds(1)));
  EXPECT_TRUE(this->history.CoversAllSets(all, kStart + this->settings.max_copy_age));
  EXPECT_TRUE(this->history.CoversAllSets({"a", "b", "c", "d"}, kStart + this->settings.max_copy_age));
  EXPECT_FALSE(this->history.CoversAllSets({"a", "b", "c"}, kStart + this->settings.max_copy_age));
}

// Guards against a set that has shrunk to VMs which are cut off together, and of which the members before know nothing.
TEST_F(MemberHistoryTest, MembersThatWereReplacedLatelyMustVouch) {
  const TimePoint replaced_at = kStart + seconds(60);
  this->history.OnAdopted(MakeRecord(12, {"a", "b"}), replaced_at);
  EXPECT_FALSE(this->history.CoversAllSets({"a", "b"}, replaced_at + seconds(1)));
  EXPECT_FALSE(this->history.CoversAllSets({"a", "b"}, replaced_at + this->settings.max_copy_age - seconds(1)));
  EXPECT_TRUE(this->history.CoversAllSets({"a", "b"}, replaced_at + this->settings.max_copy_age));
}

// Guards against an outage of the store that interrupts a fleet because one of its members was replaced before.
TEST_F(MemberHistoryTest, OneReplacedMemberIsNotMissed) {
  const TimePoint replaced_at = kStart + seconds(60);
  this->history.OnAdopted(MakeRecord(12, {"a", "b", "c", "d", "f"}), replaced_at);
  EXPECT_TRUE(this->history.CoversAllSets({"a", "b", "c", "d"}, replaced_at + seconds(1)));
  EXPECT_FALSE(this->history.CoversAllSets({"a", "b", "c", "f"}, replaced_at + seconds(1)));
}

// Guards against sets that this VM has never heard of.
TEST_F(MemberHistoryTest, BeginsAnewWhenItMissesASet) {
  const TimePoint adopted_at = kStart + seconds(60);
  this->history.OnAdopted(MakeRecord(13, {"a", "b", "c", "d", "e"}), adopted_at);
  EXPECT_FALSE(this->history.CoversAllSets({"a", "b", "c", "d", "e"}, adopted_at + seconds(1)));
  EXPECT_TRUE(this->history.CoversAllSets({"a", "b", "c", "d", "e"}, adopted_at + this->settings.max_copy_age));
}

// Guards against a fleet that an outage of the store interrupts because it has just been started.
TEST_F(MemberHistoryTest, KnowsAllSetsFromTheFirstOneOn) {
  CoordinationRecord record = MakeRecord(kFirstEpoch + 1, {"a", "b", "c"});
  record.store_era = kFirstStoreEra;
  record.former = {{kFirstEpoch, 2, {"a"}}};
  MemberHistory started(this->settings);
  started.OnAdopted(record, kStart);
  EXPECT_TRUE(started.CoversAllSets({"a", "b", "c"}, kStart));
  EXPECT_FALSE(started.CoversAllSets({"a", "b"}, kStart));
  started.OnAdopted(MakeRecord(kFirstEpoch + 2, {"a"}), kStart + seconds(2));
  EXPECT_FALSE(started.CoversAllSets({"a"}, kStart + seconds(3)));
}

// Guards against a VM that goes on for long, without the store, by a record that nobody else may know.
TEST_F(MemberHistoryTest, ALeaseWithoutTheVouchersNeedsRecentContactToTheStore) {
  const TimePoint now = kStart + seconds(60);
  const CoordinationRecord alone = MakeRecord(12, {"a"});
  this->history.OnAdopted(alone, now);
  PrimaryLease lease(this->settings);
  lease.AddGrant("a", 12, now, this->settings.fresh_contact_timeout + seconds(1));
  lease.Extend(alone, this->history);
  EXPECT_EQ(lease.Expiry(), TimePoint());
  lease.AddGrant("a", 12, now, this->settings.fresh_contact_timeout);
  lease.Extend(alone, this->history);
  EXPECT_GT(lease.Expiry(), now);
}

}  // namespace
}  // namespace amaranthlane::coordination
