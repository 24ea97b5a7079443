#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "core/coordination/vm_fleet.h"

// VMs that act on a record which a restore of the store has lost, while all others are new processes that never heard
// of them, and VMs that never come back. Nobody can tell the two from each other.
namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' bound for the return of service after all machines are back.
constexpr seconds kRecoverTime{12};

// How the other VMs get new processes, or come back without hearing of what happened.
enum class Loss : std::uint8_t { kPlannedRestart, kKill, kSuspension };

struct LostRecordCase {
  Loss loss = Loss::kPlannedRestart;
  std::size_t vms = 3;
  // The VMs that go on together by the record that is lost: the last ones.
  std::size_t cut_off = 1;
};

class LostRecordFleet : public testing::TestWithParam<LostRecordCase> {
 protected:
  void TakeDown(VmFleet& fleet, std::size_t vm) const {
    if (GetParam().loss == Loss::kSuspension) {
      fleet.SetFrozen(vm, true);
      return;
    }
    if (GetParam().loss == Loss::kPlannedRestart) {
      fleet.BeginShutdown(vm);
      fleet.RunFor(milliseconds(700));
    }
    fleet.Kill(vm);
  }

  void BringBack(VmFleet& fleet, std::size_t vm) const {
    fleet.SetFrozen(vm, false);
    fleet.Restart(vm);
  }

  void Play(std::uint64_t seed) const {
    VmFleet fleet(GetParam().vms, seed);
    fleet.RunFor(seconds(25));
    const std::size_t first_cut_off = GetParam().vms - GetParam().cut_off;
    for (std::size_t vm = 0; vm < first_cut_off; ++vm) {
      this->TakeDown(fleet, vm);
    }
    fleet.RunFor(seconds(5));
    std::set<std::size_t> cut_off;
    for (std::size_t vm = first_cut_off; vm < GetParam().vms; ++vm) {
      ASSERT_EQ(fleet.System(vm).Record()->members.size(), GetParam().cut_off);
      cut_off.insert(vm);
    }
    fleet.SetPartition(cut_off);
    fleet.vms_without_store = cut_off;
    fleet.RunFor(milliseconds(300));
    fleet.RestoreStore(seconds(12));
    for (std::size_t vm = 0; vm < first_cut_off; ++vm) {
      this->BringBack(fleet, vm);
    }
    fleet.primary_responds = false;
    fleet.RunFor(seconds(30));
    EXPECT_EQ(fleet.violation.value_or("none"), "none") << "seed " << seed;
    EXPECT_EQ(fleet.PrimaryUsers(), first_cut_off) << "seed " << seed;
  }
};

// Guards against a change of primary while VMs that are cut off use it by a record that the store has lost, and of
// which the others, whose processes are new, have never heard.
TEST_P(LostRecordFleet, NoPrimaryIsReplacedWhileVmsUseItByARecordThatNobodyElseKnows) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    this->Play(seed);
  }
}

INSTANTIATE_TEST_SUITE_P(Losses, LostRecordFleet,
                         testing::Values(LostRecordCase{Loss::kPlannedRestart, 3, 1}, LostRecordCase{Loss::kKill, 3, 1},
                                         LostRecordCase{Loss::kSuspension, 3, 1},
                                         LostRecordCase{Loss::kPlannedRestart, 5, 2}, LostRecordCase{Loss::kKill, 6, 2},
                                         LostRecordCase{Loss::kKill, 7, 3}));

class LostVmsFleet : public testing::Test {
 protected:
  // All VMs lose power, and some of them never come back, while the store is restored from a copy of this age.
  static void Play(std::size_t vms, const std::vector<std::size_t>& lost, milliseconds copy_age, std::uint64_t seed,
                   bool restart_before) {
    VmFleet fleet(vms, seed);
    fleet.RunFor(seconds(12));
    if (restart_before) {
      for (std::size_t vm = 0; vm < vms; ++vm) {
        fleet.BeginShutdown(vm);
        fleet.RunFor(milliseconds(900));
        fleet.Kill(vm);
        fleet.RunFor(milliseconds(300));
        fleet.Restart(vm);
      }
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
      fleet.Kill(vm);
    }
    fleet.store_down = true;
    fleet.RunFor(milliseconds(1500));
    for (std::size_t vm = 0; vm < vms; ++vm) {
      if (std::find(lost.begin(), lost.end(), vm) == lost.end()) {
        fleet.Restart(vm);
      } else {
        fleet.Replace(vm);
      }
    }
    fleet.RunFor(milliseconds(500));
    fleet.RestoreStore(copy_age + milliseconds(2000));
    fleet.RunFor(kRecoverTime);
    EXPECT_EQ(fleet.PrimaryUsers(), vms) << "seed " << seed << ", " << lost.size() << " of " << vms << " VMs lost";
    EXPECT_EQ(fleet.violation.value_or("none"), "none") << "seed " << seed;
  }
};

// Guards against a fleet that waits, after a loss of power and a restore, for VMs that are gone for good.
TEST_F(LostVmsFleet, ServiceReturnsInTimeThoughAnyVmsAreGoneForGood) {
  const std::vector<std::pair<std::size_t, std::vector<std::size_t>>> cases = {
      {4, {0}},          {4, {1}},       {4, {3}},       {4, {0, 1, 2}},
      {5, {0, 1, 2, 3}}, {3, {0, 1, 2}}, {9, {0, 3, 6}}, {9, {0, 1, 2, 3, 4, 5}}};
  for (const auto& [vms, lost] : cases) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      this->Play(vms, lost, seconds(9), seed, false);
    }
  }
}

// The same when the copy holds a set of members of a rolling restart, or no record at all.
TEST_F(LostVmsFleet, ServiceReturnsInTimeThoughTheCopyIsFromARollingRestartOrEmpty) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const std::size_t lost : {0U, 1U, 2U}) {
      for (const milliseconds copy_age : {milliseconds(1000), milliseconds(2000), milliseconds(3000)}) {
        this->Play(3, {lost}, copy_age, seed, true);
        this->Play(5, {lost, 4}, copy_age, seed, true);
      }
      this->Play(4, {lost}, seconds(60), seed, false);
    }
  }
}

// Guards against former members that stay in the record in calm: whoever starts later would wait for them.
TEST_F(LostVmsFleet, TheRecordNamesNoFormerMembersInCalm) {
  VmFleet fleet(5, 1);
  fleet.RunFor(seconds(10));
  EXPECT_TRUE(fleet.System(0).Record()->former.empty());
}

}  // namespace
}  // namespace amaranthlane::coordination
