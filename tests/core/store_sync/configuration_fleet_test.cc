#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <set>

#include "core/coordination/vm_fleet.h"

// Whether a configuration that the store has acknowledged is in force in time on each VM that no fault affects.
namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kVms = 9;

std::set<std::size_t> Members(const VmFleet& fleet) {
  std::set<std::size_t> members;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    if (fleet.IsMember(vm)) {
      members.insert(vm);
    }
  }
  return members;
}

// Guards against VMs that read the store though members tell them all.
TEST(ConfigurationFleet, OnlyMembersAskTheStoreWithoutFaults) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    VmFleet fleet(kVms, seed);
    fleet.RunFor(milliseconds(5000));
    fleet.store_reads = 0;
    for (int change = 0; change < 20; ++change) {
      fleet.PublishConfiguration();
      fleet.RunFor(milliseconds(500 + 97 * change));
    }
    EXPECT_EQ(fleet.violation.value_or("none"), "none");
    EXPECT_EQ(fleet.store_reads, 0U) << seed;
  }
}

// Guards against VMs that keep an old configuration because they learn only from members, none of which has the store.
TEST(ConfigurationFleet, IsInForceInTimeWhenNoMemberHasTheStore) {
  VmFleet fleet(kVms, 1);
  fleet.RunFor(milliseconds(5000));
  fleet.vms_without_store = Members(fleet);
  ASSERT_EQ(fleet.vms_without_store.size(), 5U);
  for (int change = 0; change < 4; ++change) {
    fleet.RunFor(milliseconds(200));
    fleet.PublishConfiguration();
    fleet.RunFor(milliseconds(3500));
  }
  EXPECT_EQ(fleet.violation.value_or("none"), "none");
}

// Guards against members that wait for a silent watch for longer than a configuration may take.
TEST(ConfigurationFleet, IsInForceInTimeWhenAllWatchesGoSilent) {
  VmFleet fleet(kVms, 1);
  fleet.RunFor(milliseconds(5000));
  for (int repetition = 0; repetition < 20; ++repetition) {
    fleet.SilenceWatches();
    fleet.PublishConfiguration();
    fleet.RunFor(milliseconds(6100));
  }
  EXPECT_EQ(fleet.violation.value_or("none"), "none");
}

// The same for members that lose the store one after the other while it is changed, and get it back.
TEST(ConfigurationFleetProperty, IsInForceInTimeWhileVmsLoseTheStore) {
  const bool passed = rc::check("configurations are in force in time", [] {
    VmFleet fleet(kVms, *rc::gen::arbitrary<std::uint64_t>());
    fleet.RunFor(milliseconds(5000));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, kVms), rc::gen::inRange(0, 2500)));
    for (const auto& [kind, vm, pause] : steps) {
      if (kind == 0) {
        fleet.SilenceWatches();
      } else if (kind == 1) {
        fleet.vms_without_store = Members(fleet);
      } else if (kind == 2) {
        fleet.vms_without_store.clear();
      } else if (kind == 3) {
        fleet.vms_without_store.insert(vm);
      } else {
        fleet.PublishConfiguration();
      }
      fleet.RunFor(milliseconds(pause));
    }
    fleet.PublishConfiguration();
    fleet.RunFor(milliseconds(5000));
    RC_ASSERT(fleet.violation.value_or("none") == std::string("none"));
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::coordination
