#include "core/configuration/distribution_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>

#include "core/configuration/fleet.h"

namespace amaranthlane::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSmallFleetTimeout{2};
constexpr seconds kLargeFleetTimeout{16};
// An edit reaches all VMs within this time only if digests are pushed: the periodic exchange alone takes seconds in a
// large fleet.
constexpr seconds kPushTimeout{1};

// Runs until the lists after the start are complete.
void FinishInitialLists(SimulatedFleet& fleet) {
  fleet.Put(kLabelsKind, "first");
  fleet.RunUntil([] { return false; }, seconds(15));
}

milliseconds TimeUntilApplied(SimulatedFleet& fleet, ObjectVersion version, milliseconds timeout) {
  return fleet.RunUntil([&] { return fleet.AppliedEverywhere(version); }, timeout);
}

// Returns the highest number of platform calls in any of `count` consecutive intervals.
std::size_t MaxCalls(SimulatedFleet& fleet, milliseconds span, int count) {
  std::size_t most = 0;
  for (int i = 0; i < count; ++i) {
    const std::size_t before = fleet.watch_calls + fleet.read_calls;
    fleet.RunUntil([] { return false; }, span);
    most = std::max(most, fleet.watch_calls + fleet.read_calls - before);
  }
  return most;
}

std::vector<VmName> Relays(const SimulatedFleet& fleet) {
  std::vector<VmName> relays;
  for (const auto& [name, vm] : fleet.vms) {
    if (vm->system.IsRelay()) {
      relays.push_back(name);
    }
  }
  return relays;
}

TEST(DistributionSystemTest, AnEditIsAppliedEverywhereInTimeAt9And552Vms) {
  for (const auto& [data_centres, vms, timeout] : {std::tuple{3, 3, kSmallFleetTimeout}, {8, 69, kLargeFleetTimeout}}) {
    SimulatedFleet fleet(data_centres, vms, 1);
    FinishInitialLists(fleet);
    EXPECT_EQ(Relays(fleet).size(), 2U * data_centres);
    const std::size_t calls = fleet.watch_calls;
    const milliseconds elapsed = TimeUntilApplied(fleet, fleet.Put(kSelectorsKind, "urgent"), timeout);
    EXPECT_LT(elapsed, std::min<milliseconds>(timeout, kPushTimeout));
    std::cout << fleet.vms.size() << " VMs: in force after " << elapsed.count() << " ms, " << fleet.watch_calls - calls
              << " watch calls\n";
  }
}

TEST(DistributionSystemTest, PeersDeliverChangesWhileSilentWatchesAreReopened) {
  SimulatedFleet fleet(3, 3, 2);
  FinishInitialLists(fleet);
  std::vector<VmName> silent;
  for (const VmName& relay : Relays(fleet)) {
    if (relay.starts_with("dc-0")) {
      silent.push_back(relay);
    }
  }
  fleet.LoseWatches(silent);
  const std::size_t calls = fleet.watch_calls;
  EXPECT_LT(TimeUntilApplied(fleet, fleet.Put(kSelectorsKind, "urgent"), kSmallFleetTimeout), kSmallFleetTimeout);
  fleet.RunUntil([] { return false; }, seconds(2));
  // Four relays open new watches after their response. The two silent ones must also have opened new ones, long before
  // the watch wait ends.
  EXPECT_GE(fleet.watch_calls - calls, 6U);
}

TEST(DistributionSystemTest, SilentWatchesOfAllRelaysEndAtTheWatchDeadline) {
  SimulatedFleet fleet(3, 3, 3);
  FinishInitialLists(fleet);
  fleet.LoseWatches(Relays(fleet));
  const ObjectVersion version = fleet.Put(kSelectorsKind, "urgent");
  EXPECT_LT(TimeUntilApplied(fleet, version, seconds(20)), seconds(13));
}

TEST(DistributionSystemTest, AVmStartedDuringAPlatformOutagePullsFromPeers) {
  SimulatedFleet fleet(3, 3, 4);
  FinishInitialLists(fleet);
  fleet.platform_up = false;
  fleet.FailWatches();
  fleet.Add({"dc-0-new", "dc-0"});
  const ObjectStore& store = fleet.vms.at("dc-0-new")->store;
  EXPECT_LT(fleet.RunUntil([&] { return store.Find(kLabelsKind, "first") != nullptr; }, seconds(5)), seconds(2));
}

TEST(DistributionSystemTest, SimultaneousWatchFailuresCauseNoThunderingHerd) {
  SimulatedFleet fleet(8, 69, 5);
  FinishInitialLists(fleet);
  fleet.FailWatches();
  const std::size_t burst = MaxCalls(fleet, milliseconds(50), 20);
  fleet.platform_up = false;
  fleet.FailWatches();
  const std::size_t outage = MaxCalls(fleet, seconds(1), 30);
  fleet.platform_up = true;
  const std::size_t after = MaxCalls(fleet, seconds(1), 12);
  std::cout << "most platform calls at 552 VMs: " << burst << " in 50 ms after a break, " << outage
            << " in 1 s of an outage, " << after << " in 1 s after it\n";
  EXPECT_LE(burst, 8U);
  EXPECT_LE(outage, 100U);
  EXPECT_LE(after, 100U);
  EXPECT_LT(TimeUntilApplied(fleet, fleet.Put(kSelectorsKind, "urgent"), kLargeFleetTimeout), kLargeFleetTimeout);
}

TEST(DistributionSystemTest, ABurstOfChangesCausesABoundedRateOfCalls) {
  SimulatedFleet fleet(8, 69, 8);
  FinishInitialLists(fleet);
  const std::size_t calls = fleet.watch_calls;
  for (int change = 0; change < 100; ++change) {
    fleet.Put(kLeadershipKind, "group-" + std::to_string(change));
    fleet.Step();
  }
  std::cout << "100 changes in 1 s at 552 VMs: " << fleet.watch_calls - calls << " watch calls\n";
  EXPECT_LE(fleet.watch_calls - calls, 16U * 11U);
  EXPECT_LT(TimeUntilApplied(fleet, fleet.Put(kSelectorsKind, "urgent"), kLargeFleetTimeout), kLargeFleetTimeout);
}

TEST(DistributionSystemTest, ADeletionThatOnlyAListRevealsReachesEveryVm) {
  SimulatedFleet fleet(3, 3, 6);
  FinishInitialLists(fleet);
  fleet.platform_up = false;
  fleet.FailWatches();
  fleet.EraseWithoutTombstone(kLabelsKind, "first");
  fleet.RunUntil([] { return false; }, seconds(5));
  fleet.platform_up = true;
  const auto gone = [&fleet] {
    return std::all_of(fleet.vms.begin(), fleet.vms.end(),
                       [](const auto& entry) { return entry.second->store.Find(kLabelsKind, "first") == nullptr; });
  };
  EXPECT_LT(fleet.RunUntil(gone, seconds(60)), seconds(20));
  EXPECT_LT(fleet.RunUntil([&fleet] { return fleet.Converged(); }, seconds(60)), seconds(30));
}

TEST(DistributionSystemTest, ANewerVersionSeenElsewhereIsReadOnce) {
  ObjectStore store;
  DistributionSystem system({"dub-a-1", "dub-a"}, store, 7);
  const std::vector<DistributionEvent> seen = {NewerVersionSeen{kDatabaseGroupsKind, "g", 9},
                                               NewerVersionSeen{kDatabaseGroupsKind, "g", 9}};
  EXPECT_EQ(system.Tick(TimePoint(seconds(1)), seen).size(), 1U);
  const std::vector<DistributionEvent> object_event = {ObjectReceived{{kDatabaseGroupsKind, "g", 9, true, nullptr}}};
  system.Tick(TimePoint(seconds(1)), object_event);
  EXPECT_TRUE(system.Tick(TimePoint(seconds(2)), seen).empty());
}

TEST(DistributionSystemTest, DifferencesBelowTheCompleteVersionAreFoundByBuckets) {
  ObjectStore with_tombstone;
  ObjectStore without;
  for (ObjectStore* store : {&with_tombstone, &without}) {
    store->Apply({kLabelsKind, "a", 10, false, {{"v", 1}}});
    store->Apply({kLabelsKind, "b", 48, false, {{"v", 1}}});
    store->AdvanceCompleteThrough(50);
  }
  with_tombstone.Apply({kLabelsKind, "a", 45, true, nullptr});
  DistributionSystem peer({"dub-a-1", "dub-a"}, with_tombstone, 1);
  DistributionSystem system({"dub-a-2", "dub-a"}, without, 2);
  const std::vector<DistributionEvent> digest_event = {PeerDigestReceived{"dub-a-1", with_tombstone.Digest()}};
  const std::vector<DistributionAction> actions = system.Tick(TimePoint(seconds(1)), digest_event);
  ASSERT_EQ(actions.size(), 1U);
  const auto& pull = std::get<PullDifferences>(actions[0]);
  const std::vector<DistributionEvent> received = {DifferencesReceived{pull.id, pull.peer, peer.ReplyTo(pull.request)}};
  system.Tick(TimePoint(seconds(1)), received);
  EXPECT_EQ(without.Digest(), with_tombstone.Digest());
}

TEST(DistributionSystemTest, ABucketOrLateReplyDoesNotAdvanceTheCompleteVersion) {
  ObjectStore store;
  store.Apply({kLabelsKind, "a", 10, false, {{"v", 1}}});
  store.AdvanceCompleteThrough(50);
  DistributionSystem system({"dub-a-2", "dub-a"}, store, 2);
  const std::vector<DistributionEvent> digest_event = {PeerDigestReceived{"dub-a-1", {50, {{kLabelsKind, 1, 10}}}}};
  const auto pull = std::get<PullDifferences>(system.Tick(TimePoint(seconds(1)), digest_event).at(0));
  ASSERT_FALSE(pull.request.buckets.empty());
  const std::vector<DistributionEvent> late = {DifferencesReceived{pull.id + 1, "dub-a-1", {90, {}, false}}};
  system.Tick(TimePoint(seconds(1)), late);
  EXPECT_EQ(store.CompleteThrough(), 50U);
  const std::vector<DistributionEvent> received = {DifferencesReceived{pull.id, "dub-a-1", {80, {}, false}}};
  system.Tick(TimePoint(seconds(1)), received);
  EXPECT_EQ(store.CompleteThrough(), 50U);
}

RC_GTEST_PROP(DistributionSystemTest, ObjectsNeverRevertAndConvergeAfterLossAndOutages, ()) {
  SimulatedFleet fleet(3, 3, *rc::gen::arbitrary<std::uint32_t>());
  std::mt19937_64 generator(*rc::gen::arbitrary<std::uint64_t>());
  const std::uint64_t loss_percent = *rc::gen::inRange<std::uint64_t>(0, 80);
  fleet.is_delivered = [&](const VmName&, const VmName&) { return generator() % 100 >= loss_percent; };
  std::map<VmName, std::map<std::string, ObjectVersion>> held;
  ObjectVersion last = 0;
  for (int round = 0; round < 400; ++round) {
    const std::uint64_t choice = generator() % 40;
    if (choice < 4) {
      last = fleet.Put(kLabelsKind, "object-" + std::to_string(choice), generator() % 4 == 0);
    } else if (choice == 4) {
      fleet.platform_up = !fleet.platform_up;
      fleet.FailWatches();
    } else if (choice == 5) {
      fleet.LoseWatches(Relays(fleet));
    }
    fleet.Step();
    RC_ASSERT(fleet.CompleteVersionsHold());
    for (const auto& [name, vm] : fleet.vms) {
      for (const char* object : {"object-0", "object-1", "object-2", "object-3"}) {
        const PlatformObject* now = vm->store.FindWithTombstone(kLabelsKind, object);
        const ObjectVersion version = now == nullptr ? 0 : now->version;
        RC_ASSERT(version >= held[name][object]);
        held[name][object] = version;
      }
    }
  }
  fleet.platform_up = true;
  fleet.is_delivered = [](const VmName&, const VmName&) { return true; };
  RC_ASSERT(TimeUntilApplied(fleet, last, seconds(60)) < seconds(60));
  RC_ASSERT(fleet.Converged());
}

TEST(RelaySelectionTest, AChangeOfOneMemberReplacesAtMostOneRelay) {
  std::vector<Member> members;
  for (int i = 0; i < 10; ++i) {
    members.push_back({"vm-" + std::to_string(i), "dub-a"});
  }
  const std::vector<VmName> before = SelectRelays(members, "dub-a");
  ASSERT_EQ(before.size(), 2U);
  std::erase(members, Member{before[0], "dub-a"});
  const std::vector<VmName> after = SelectRelays(members, "dub-a");
  EXPECT_EQ(after[0], before[1]);
  EXPECT_EQ(SelectRelays(std::vector<Member>{{"a", "x"}, {"b", "y"}}, "x"), std::vector<VmName>{"a"});
}

}  // namespace
}  // namespace amaranthlane::configuration
