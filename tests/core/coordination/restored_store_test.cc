#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <tuple>
#include <vector>

#include "core/coordination/vm_fleet.h"

// A fleet whose store comes back from an older copy: what it had acknowledged since is lost, and revisions are given
// out again.
namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 7;

class RestoredStoreFleet : public testing::Test {
 protected:
  RestoredStoreFleet() : fleet(kVms, 42) { this->fleet.RunFor(seconds(5)); }

  ~RestoredStoreFleet() override { EXPECT_EQ(this->fleet.violation.value_or("none"), "none"); }

  // Replaces a member, which changes the record.
  void ChangeMembers() {
    const VmName& name = this->fleet.System(this->fleet.Coordinator().value()).Record()->members.back().vm;
    const std::size_t member = static_cast<std::size_t>(std::stoul(name.substr(3)));
    this->fleet.Kill(member);
    this->fleet.RunFor(seconds(3));
    this->fleet.Restart(member);
    this->fleet.RunFor(seconds(2));
  }

  // Has the primary replaced by a record that is newer than the copy which the store is restored from afterwards.
  void ReplacePrimary() {
    this->fleet.primary_responds = false;
    this->fleet.RunFor(seconds(4));
    ASSERT_EQ(this->fleet.term, 2U);
  }

  void RestartAll() {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      this->fleet.Kill(vm);
    }
    this->fleet.RunFor(milliseconds(300));
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      this->fleet.Restart(vm);
    }
  }

  // The longest time in which fewer than `min_users` VMs could use the primary.
  milliseconds LongestGap(milliseconds time, std::size_t min_users) {
    milliseconds gap{0};
    milliseconds longest{0};
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      this->fleet.RunFor(milliseconds(10));
      gap = this->fleet.PrimaryUsers() < min_users ? gap + milliseconds(10) : milliseconds(0);
      longest = std::max(longest, gap);
    }
    return longest;
  }

  VmFleet fleet;
};

// Guards against a fleet that can't write its record any more, so that a failed primary is never replaced.
TEST_F(RestoredStoreFleet, APrimaryThatFailsAfterwardsIsReplaced) {
  this->ChangeMembers();
  this->fleet.RestoreStore(seconds(6));
  this->fleet.RunFor(seconds(1));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(6));
  EXPECT_EQ(this->fleet.promotions, 1U);
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

// Guards against a record that stays older in the store than on the VMs, which then forget it when they restart.
TEST_F(RestoredStoreFleet, TheNewestRecordIsWrittenAgain) {
  this->ChangeMembers();
  const std::uint64_t lost = this->fleet.StoredVersion();
  this->fleet.RestoreStore(seconds(6));
  EXPECT_LT(this->fleet.StoredVersion(), lost);
  this->fleet.RunFor(seconds(2));
  EXPECT_GE(this->fleet.StoredVersion(), lost);
}

// Guards against commits at a primary that was replaced by a change which the store has lost: VMs that start afterwards
// know only the older record.
TEST_F(RestoredStoreFleet, VmsThatStartAfterwardsUseNoReplacedPrimary) {
  this->ReplacePrimary();
  this->fleet.RestoreStore(seconds(5));
  this->RestartAll();
  this->fleet.RunFor(seconds(10));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

// The same for VMs that start while the others keep running.
TEST_F(RestoredStoreFleet, VmsThatStartAmongOthersUseNoReplacedPrimary) {
  this->ReplacePrimary();
  for (std::size_t vm = 0; vm < kVms; vm += 2) {
    this->fleet.Kill(vm);
  }
  this->fleet.RestoreStore(seconds(6));
  for (std::size_t vm = 0; vm < kVms; vm += 2) {
    this->fleet.Restart(vm);
  }
  this->fleet.RunFor(seconds(12));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

// Guards against a VM that starts anew from a store which has lost all records, while others know them.
TEST_F(RestoredStoreFleet, AVmThatStartsBeforeAnEmptyStoreForgetsNoPrimary) {
  this->ReplacePrimary();
  this->fleet.Kill(6);
  this->fleet.RestoreStore(seconds(60));
  this->fleet.Restart(6);
  this->fleet.RunFor(seconds(6));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
  EXPECT_EQ(this->fleet.promotions, 1U);
}

// Guards against leases that end because the coordinator alone would begin the new era, but can't reach the store.
TEST_F(RestoredStoreFleet, AnotherVmBeginsTheEraWhenTheCoordinatorLacksTheStore) {
  const std::size_t coordinator = this->fleet.Coordinator().value();
  this->fleet.vms_without_store = {coordinator};
  this->fleet.RestoreStore(seconds(1));
  this->fleet.RunFor(seconds(25));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
  EXPECT_NE(this->fleet.Coordinator(), coordinator);
}

// The same when no member can.
TEST_F(RestoredStoreFleet, AnyVmBeginsTheEraWhenNoMemberHasTheStore) {
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    if (this->fleet.IsMember(vm)) {
      this->fleet.vms_without_store.insert(vm);
    }
  }
  this->fleet.RestoreStore(seconds(1));
  this->fleet.RunFor(seconds(25));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

// Guards against an isolated coordinator that begins the new era alone and so interrupts the others.
TEST_F(RestoredStoreFleet, AnIsolatedCoordinatorWithTheStoreInterruptsNoOtherVm) {
  const std::size_t coordinator = this->fleet.Coordinator().value();
  this->fleet.SetPartition({coordinator});
  this->fleet.RunFor(milliseconds(300));
  this->fleet.RestoreStore(seconds(1));
  EXPECT_LE(this->LongestGap(seconds(20), kVms - 1), milliseconds(200));
  this->fleet.SetPartition({});
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

// Guards against a change of primary while a VM, by a takeover that the store has lost, grants itself a lease.
TEST(RestoredStoreScenario, APrimaryIsNotReplacedWhileAVmUsesItByALostRecord) {
  constexpr std::uint64_t kSeed = 50;
  constexpr std::size_t kTaker = 3;
  VmFleet fleet(kVms, kSeed, {{120}, {500}, {120}, {120}, {500}, {500}, {120}});
  fleet.RunFor(seconds(3));
  fleet.SetPartition({kTaker, 6});
  fleet.RunFor(milliseconds(1200));
  fleet.Kill(0);
  fleet.RunFor(milliseconds(2050));
  ASSERT_TRUE(fleet.System(kTaker).IsCoordinator());
  fleet.RestoreStore(milliseconds(1400));
  fleet.primary_responds = false;
  fleet.RunFor(seconds(3));
  EXPECT_EQ(fleet.violation.value_or("none"), "none");
}

// Guards against an interruption of a healthy fleet that callers of the most urgent work would notice.
TEST_F(RestoredStoreFleet, AHealthyFleetIsInterruptedForLessThanTheMostUrgentWorkMayTake) {
  this->ChangeMembers();
  this->fleet.RestoreStore(seconds(6));
  EXPECT_LE(this->LongestGap(seconds(30), kVms), milliseconds(200));
  EXPECT_EQ(this->fleet.promotions, 0U);
}

// A member that succeeds the coordinator in beginning the record of a new era.
class EraSuccessorTest : public testing::Test {
 protected:
  EraSuccessorTest() {
    this->record.version = 1;
    this->record.epoch = 1;
    this->record.members = {{"a", "a"}, {"b", "b"}, {"c", "c"}};
    this->record.groups["g"] = {1, "e1", false};
    this->system.Tick(this->now, this->actions);
    this->system.OnRecordRead(this->record, {1, 5}, this->now, this->actions);
    this->Grant();
    this->system.OnRecordRead(this->record, {2, 0}, this->now, this->actions);
    for (int step = 0; step < 20; ++step) {
      this->now += milliseconds(50);
      this->Grant();
      this->system.OnRecordRead(this->record, {2, 0}, this->now, this->actions);
      this->system.Tick(this->now, this->actions);
    }
    EXPECT_TRUE(this->system.WritePending());
  }

  // The id of the update that was written last.
  std::string PendingUpdate() const {
    std::string update_id;
    for (const Action& action : this->actions) {
      if (const auto* write = std::get_if<WriteRecord>(&action)) {
        update_id = write->record.update_id;
      }
    }
    return update_id;
  }

  // The other members grant this VM a lease.
  void Grant() {
    for (const VmName member : {"a", "c"}) {
      HeartbeatReply reply;
      reply.granted = true;
      reply.version = this->record.version;
      this->system.OnHeartbeatReply(member, reply, this->now, this->now, this->actions);
    }
  }

  // The era's first record is written, and the other members adopt it.
  void FinishEraStart() {
    this->system.OnRecordWritten(this->PendingUpdate(), WriteResult::kWritten, {2, 9}, this->now, this->actions);
    for (const VmName member : {"a", "c"}) {
      HeartbeatRequest heartbeat;
      heartbeat.vm = member;
      heartbeat.version = this->system.Record()->version;
      this->system.OnHeartbeat(heartbeat, this->now, this->actions);
    }
  }

  CoordinationSystem system{Self{"b", 1, "b", "b", "dc", {}}, CoordinationSettings{}};
  CoordinationRecord record;
  TimePoint now = TimePoint(seconds(100));
  Actions actions;
};

TEST_F(EraSuccessorTest, ConfirmsPrimariesWhileItsLeaseLasts) {
  this->FinishEraStart();
  EXPECT_TRUE(this->system.IsCoordinator());
  EXPECT_FALSE(this->system.MayUsePrimary("g", this->now));
  EXPECT_TRUE(this->system.OutlastedRestore("g", this->now));
  EXPECT_FALSE(this->system.OutlastedRestore("g", this->now + seconds(3)));
}

// Guards against the confirmation of a primary that the former coordinator replaces by a record which this VM adopted
// after it had made the era's first one.
TEST_F(EraSuccessorTest, ConfirmsNothingAfterItHeardOfANewerRecordOfTheEarlierEra) {
  CoordinationRecord newer = this->record;
  newer.version = 2;
  newer.groups["g"] = {1, "e1", true};
  this->system.OnRecordNotice(newer, this->now, this->actions);
  this->FinishEraStart();
  EXPECT_TRUE(this->system.IsCoordinator());
  EXPECT_FALSE(this->system.OutlastedRestore("g", this->now));
}

// Guards against writes that take effect after the restore on a condition that was meant for a lost revision.
TEST(RestoredStoreFleetProperty, NoLateWriteMakesVmsUseAReplacedPrimary) {
  const bool passed = rc::check("late writes across restores do no harm", [] {
    VmFleet fleet(kVms, *rc::gen::arbitrary<std::uint64_t>());
    fleet.write_reply_loss = 0.5;
    fleet.lost_writes_are_delayed = true;
    fleet.RunFor(seconds(6));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, kVms), rc::gen::inRange(0, 2500)));
    for (const auto& [kind, vm, pause] : steps) {
      if (kind < 2) {
        fleet.RestoreStore(milliseconds(100) + milliseconds(700) * vm);
      } else if (kind == 2) {
        fleet.primary_responds = false;
      } else if (kind == 3) {
        fleet.Kill(vm);
      } else if (kind == 4) {
        fleet.Restart(vm);
      } else {
        fleet.SetIsolated(vm, pause % 2 == 0);
      }
      fleet.RunFor(milliseconds(pause));
    }
    RC_ASSERT(fleet.violation.value_or("none") == std::string("none"));
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::coordination
