#include "core/coordination/coordination_system.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "core/coordination/vm_fleet.h"

namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CoordinationSystemTest : public testing::Test {
 protected:
  CoordinationSystemTest() : fleet(6, 42) {
    this->fleet.RunFor(seconds(4));
    this->coordinator = this->fleet.Coordinator().value();
  }

  ~CoordinationSystemTest() override { EXPECT_EQ(this->fleet.violation, std::nullopt); }

  // The number of the VM that is the record's member at `index`.
  std::size_t MemberAt(std::size_t index) const {
    const VmName& vm = this->fleet.System(this->coordinator).Record()->members.at(index).vm;
    return static_cast<std::size_t>(std::stoul(vm.substr(3)));
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
  std::size_t coordinator = 0;
};

TEST_F(CoordinationSystemTest, AllVmsUseThePrimaryOnceTheRecordExists) {
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
  EXPECT_EQ(this->fleet.System(0).Record()->members.size(), 5U);
}

TEST_F(CoordinationSystemTest, StoreOutageInterruptsNoVm) {
  this->fleet.store_down = true;
  EXPECT_EQ(this->LongestGap(seconds(15), 6), milliseconds(0));
}

TEST_F(CoordinationSystemTest, KilledCoordinatorInterruptsNoOtherVm) {
  this->fleet.Kill(this->coordinator);
  EXPECT_EQ(this->LongestGap(seconds(6), 5), milliseconds(0));
  EXPECT_NE(this->fleet.Coordinator(), std::nullopt);
  EXPECT_NE(this->fleet.Coordinator(), this->coordinator);
}

TEST_F(CoordinationSystemTest, KilledMemberIsReplacedBeforeLeasesExpire) {
  const std::size_t member = this->MemberAt(1);
  this->fleet.Kill(member);
  EXPECT_EQ(this->LongestGap(seconds(6), 5), milliseconds(0));
  EXPECT_FALSE(this->fleet.System(this->coordinator).Record()->IsMember("vm-" + std::to_string(member)));
}

TEST_F(CoordinationSystemTest, FrozenCoordinatorResumesWithoutALease) {
  this->fleet.SetFrozen(this->coordinator, true);
  this->fleet.RunFor(seconds(5));
  EXPECT_FALSE(this->fleet.System(this->coordinator).MayPromote(TimePoint(std::chrono::seconds(109))));
  this->fleet.SetFrozen(this->coordinator, false);
  this->fleet.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

TEST_F(CoordinationSystemTest, IsolatedVmLosesItsLease) {
  const std::size_t isolated =
      (this->coordinator + 1) % 6 == this->MemberAt(1) || (this->coordinator + 1) % 6 == this->MemberAt(2)
          ? (this->coordinator + 4) % 6
          : (this->coordinator + 1) % 6;
  this->fleet.SetIsolated(isolated, true);
  this->fleet.RunFor(milliseconds(2200));
  EXPECT_LE(this->fleet.PrimaryUsers(), 5U);
}

TEST_F(CoordinationSystemTest, FailedPrimaryIsReplacedWithinASecond) {
  this->fleet.primary_responds = false;
  EXPECT_LT(this->LongestGap(seconds(5), 6), milliseconds(1000));
  EXPECT_EQ(this->fleet.term, 2U);
}

TEST_F(CoordinationSystemTest, PrimaryIsReplacedWhileAVmIsIsolated) {
  const std::size_t isolated = this->MemberAt(2);
  this->fleet.SetIsolated(isolated, true);
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(6));
  EXPECT_EQ(this->fleet.term, 2U);
  EXPECT_GE(this->fleet.PrimaryUsers(), 5U);
}

TEST_F(CoordinationSystemTest, CoordinatorWithoutTheStoreHandsOver) {
  this->fleet.vms_without_store.insert(this->coordinator);
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(9));
  EXPECT_EQ(this->fleet.term, 2U);
  EXPECT_NE(this->fleet.Coordinator(), this->coordinator);
}

TEST_F(CoordinationSystemTest, ChangeCompletesAfterItsCoordinatorDies) {
  this->fleet.primary_responds = false;
  this->fleet.RunFor(milliseconds(120));
  this->fleet.Kill(this->coordinator);
  this->fleet.RunFor(seconds(7));
  EXPECT_GE(this->fleet.term, 2U);
  EXPECT_EQ(this->fleet.PrimaryUsers(), 5U);
}

TEST_F(CoordinationSystemTest, AllVmsServeWithinTwoSecondsAfterAFullRestart) {
  for (std::size_t vm = 0; vm < 6; ++vm) {
    this->fleet.Kill(vm);
  }
  this->fleet.RunFor(milliseconds(500));
  for (std::size_t vm = 0; vm < 6; ++vm) {
    this->fleet.Restart(vm);
  }
  this->fleet.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

TEST_F(CoordinationSystemTest, LostStoreRepliesConvergeOnOneRecord) {
  this->fleet.write_reply_loss = 0.5;
  this->fleet.lost_writes_are_delayed = true;
  this->fleet.Kill(this->coordinator);
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(20));
  this->fleet.write_reply_loss = 0;
  this->fleet.RunFor(seconds(8));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 5U);
  EXPECT_GE(this->fleet.term, 2U);
}

// The members can't replace one of themselves because the store answers none of them. The other VMs reach both the
// store and the members.
TEST_F(CoordinationSystemTest, OtherVmsReplaceMembersWithoutTheStore) {
  for (std::size_t index = 0; index < 5; ++index) {
    this->fleet.vms_without_store.insert(this->MemberAt(index));
  }
  this->fleet.Kill(this->MemberAt(2));
  this->fleet.Kill(this->MemberAt(3));
  EXPECT_LT(this->LongestGap(seconds(8), 4), milliseconds(1200));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 4U);
}

// No VM can replace a member while the store is down, so the grants of the remaining members must suffice.
TEST_F(CoordinationSystemTest, MemberLostDuringAStoreOutageInterruptsNoOtherVm) {
  this->fleet.store_down = true;
  this->fleet.Kill(this->MemberAt(1));
  EXPECT_EQ(this->LongestGap(seconds(10), 5), milliseconds(0));
}

TEST_F(CoordinationSystemTest, CoordinatorLostDuringAStoreOutageInterruptsNoOtherVm) {
  this->fleet.store_down = true;
  this->fleet.Kill(this->coordinator);
  EXPECT_EQ(this->LongestGap(seconds(10), 5), milliseconds(0));
}

// One member is partitioned from all others, and only it reaches the store.
TEST_F(CoordinationSystemTest, PartitionedMemberWithTheStoreInterruptsNoOtherVm) {
  const std::size_t partitioned = this->MemberAt(2);
  this->fleet.SetPartition({partitioned});
  for (std::size_t vm = 0; vm < 6; ++vm) {
    if (vm != partitioned) {
      this->fleet.vms_without_store.insert(vm);
    }
  }
  EXPECT_EQ(this->LongestGap(seconds(8), 5), milliseconds(0));
}

// The partitioned member can't get the primary released by VMs that it doesn't hear. A change that it began would
// interrupt all of them once the partition ends.
TEST_F(CoordinationSystemTest, PartitionedMemberWithTheStoreBeginsNoChange) {
  const std::size_t partitioned = this->MemberAt(2);
  this->fleet.SetPartition({partitioned});
  this->fleet.unreachable_from["e1"].insert(partitioned);
  for (std::size_t vm = 0; vm < 6; ++vm) {
    if (vm != partitioned) {
      this->fleet.vms_without_store.insert(vm);
    }
  }
  this->fleet.RunFor(seconds(7));
  this->fleet.SetPartition({});
  this->fleet.vms_without_store.clear();
  this->fleet.unreachable_from.clear();
  EXPECT_LT(this->LongestGap(seconds(8), 5), milliseconds(300));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Two of the three endpoints are unreachable from half of the VMs; the coordinator reaches all three.
TEST(PrimaryChange, ReplicaReachableFromMostVmsBecomesPrimary) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    VmFleet fleet(6, seed);
    fleet.RunFor(seconds(4));
    for (std::size_t vm = 0; vm < 6 && fleet.unreachable_from["e1"].size() < 3; ++vm) {
      if (vm != fleet.Coordinator()) {
        fleet.unreachable_from["e1"].insert(vm);
        fleet.unreachable_from["e2"].insert(vm);
      }
    }
    fleet.RunFor(seconds(6));
    EXPECT_EQ(fleet.primary, "e3") << seed;
    EXPECT_EQ(fleet.promotions, 1U) << seed;
    EXPECT_EQ(fleet.PrimaryUsers(), 6U) << seed;
    EXPECT_EQ(fleet.violation, std::nullopt) << seed;
  }
}

TEST_F(CoordinationSystemTest, PrimaryStaysWhenNoReplicaIsMoreReachable) {
  this->fleet.unreachable_from = {{"e1", {0, 1, 2}}, {"e2", {1, 2, 3}}, {"e3", {2, 3, 4}}};
  this->fleet.RunFor(seconds(6));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->fleet.promotions, 0U);
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// The VM that inherits a change finds the former primary healthy and the replicas behind it.
TEST_F(CoordinationSystemTest, InheritedChangeEndsWhileReplicasLag) {
  this->fleet.replica_lag = 2;
  this->fleet.primary_responds = false;
  this->fleet.RunFor(milliseconds(60));
  this->fleet.Kill(this->coordinator);
  this->fleet.RunFor(milliseconds(300));
  this->fleet.primary_responds = true;
  this->fleet.RunFor(seconds(6));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 5U);
  EXPECT_EQ(this->fleet.promotions, 0U);
}

// A VM that hears none of its peers but reaches the store must not take over a healthy fleet.
// The load of a member grows with the fleet, so that it must not fall on the smallest VMs.
class SizedFleetTest : public testing::Test {
 protected:
  static constexpr std::size_t kVms = 30;

  ~SizedFleetTest() override { EXPECT_EQ(this->fleet.violation, std::nullopt); }

  // One large VM in each data centre, and two more.
  static bool IsLarge(std::size_t vm) { return vm >= kVms - 5; }

  static std::vector<Millicores> Shares() {
    std::vector<Millicores> shares;
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      shares.push_back({IsLarge(vm) ? 500U : 120U});
    }
    return shares;
  }

  void KillLargeVms() {
    for (std::size_t vm = kVms - 5; vm < kVms; ++vm) {
      this->fleet.Kill(vm);
    }
  }

  void ExpectLargeMembers() {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      EXPECT_EQ(this->fleet.IsMember(vm), IsLarge(vm)) << vm;
    }
    ASSERT_NE(this->fleet.Coordinator(), std::nullopt);
    EXPECT_TRUE(IsLarge(*this->fleet.Coordinator())) << *this->fleet.Coordinator();
  }

  VmFleet fleet{kVms, 7, Shares()};
};

TEST_F(SizedFleetTest, LargeVmsBecomeMembersAndCoordinator) {
  this->fleet.RunFor(seconds(8));
  this->ExpectLargeMembers();
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms);
}

TEST_F(SizedFleetTest, LargeVmsThatReturnBecomeMembersAndInterruptNoVm) {
  this->KillLargeVms();
  this->fleet.RunFor(seconds(5));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms - 5);
  for (std::size_t vm = kVms - 5; vm < kVms; ++vm) {
    this->fleet.Restart(vm);
  }
  for (int step = 0; step < 800; ++step) {
    this->fleet.RunFor(milliseconds(10));
    ASSERT_GE(this->fleet.PrimaryUsers(), kVms - 5) << step;
  }
  this->ExpectLargeMembers();
}

TEST_F(SizedFleetTest, SmallVmsTakeOverWhenAllLargeOnesAreLost) {
  this->fleet.RunFor(seconds(8));
  this->KillLargeVms();
  this->fleet.RunFor(seconds(8));
  EXPECT_EQ(this->fleet.PrimaryUsers(), kVms - 5);
}

// A larger successor that can't reach the store must not make the role of coordinator go round.
TEST_F(SizedFleetTest, ALargerSuccessorWithoutTheStoreIsNotAskedToTakeOver) {
  this->KillLargeVms();
  this->fleet.RunFor(seconds(5));
  const std::optional<std::size_t> coordinator = this->fleet.Coordinator();
  for (std::size_t vm = kVms - 5; vm < kVms; ++vm) {
    this->fleet.Restart(vm);
  }
  this->fleet.RunFor(milliseconds(300));
  for (std::size_t vm = kVms - 5; vm < kVms; ++vm) {
    this->fleet.vms_without_store.insert(vm);
  }
  this->fleet.RunFor(seconds(8));
  EXPECT_EQ(this->fleet.Coordinator(), coordinator);
}

// Guards against a record that counts as written because the answer to an earlier write, which a read has confirmed,
// came late.
TEST(RecordWrites, TheAnswerToAnEarlierWriteSaysNothingOfTheNextOne) {
  CoordinationSystem system(Self{"a", 1, "a", "a", "dc", {}}, CoordinationSettings{});
  const TimePoint now(seconds(100));
  Actions actions;
  system.Tick(now, actions);
  system.OnRecordRead(std::nullopt, {1, 0}, now, actions);
  const CoordinationRecord first = std::get<WriteRecord>(actions.back()).record;
  system.OnRecordRead(first, {1, 5}, now, actions);
  ASSERT_FALSE(system.WritePending());
  ASSERT_TRUE(system.ProposeGroups({{"g", {1, "e1", false}}}, {}, "a primary was found", now, actions));
  system.OnRecordWritten(first.update_id, WriteResult::kWritten, {1, 5}, now, actions);
  EXPECT_TRUE(system.WritePending());
  EXPECT_EQ(system.Record()->version, first.version);
}

TEST_F(CoordinationSystemTest, PartitionedVmInterruptsNoOtherVm) {
  for (std::size_t vm = 0; vm < 6; ++vm) {
    this->fleet.SetPartition({vm});
    EXPECT_EQ(this->LongestGap(milliseconds(5500), 5), milliseconds(0)) << "vm-" << vm;
    this->fleet.SetPartition({});
    this->fleet.RunFor(seconds(3));
    EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
  }
}

}  // namespace
}  // namespace amaranthlane::coordination
