#include <gtest/gtest.h>

#include <optional>

#include "core/coordination/vm_fleet.h"

// Changes of primary in a group whose commits wait for a replica. VmFleet checks that no acknowledged commit is lost.
namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The property of each test holds for each of these seeds.
class SynchronousReplicas : public testing::TestWithParam<std::uint64_t> {
 protected:
  SynchronousReplicas() : fleet(6, GetParam()) {
    this->fleet.synchronous_replicas = 1;
    this->fleet.RunFor(seconds(4));
  }

  ~SynchronousReplicas() override { EXPECT_EQ(this->fleet.violation, std::nullopt); }

  std::size_t GroupsAwaitingLog() const {
    return this->fleet.Failover(this->fleet.Coordinator().value()).GroupsAwaitingLog();
  }

  VmFleet fleet;
};

// Guards against the promotion of a replica that lags behind a draining one, though that one answers.
TEST_P(SynchronousReplicas, ADrainingReplicaBecomesPrimaryIfOnlyItHasTheLog) {
  this->fleet.SetDraining("e2", true);
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(3));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(milliseconds(300));
  // The crashed primary doesn't come back.
  this->fleet.SetAbsent("e1", true);
  this->fleet.RunFor(milliseconds(1200));
  EXPECT_EQ(this->fleet.primary, "e2");
  this->fleet.SetDeaf("e3", false);
  this->fleet.RunFor(seconds(4));
  EXPECT_EQ(this->fleet.primary, "e3");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Guards against planned work that loses commits: the draining primary is alive and has them.
TEST_P(SynchronousReplicas, ADrainingPrimaryStaysUntilAReplicaHasItsLog) {
  this->fleet.SetDraining("e2", true);
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(3));
  this->fleet.SetDraining("e1", true);
  for (int step = 0; step < 250; ++step) {
    this->fleet.RunFor(milliseconds(10));
    ASSERT_EQ(this->fleet.PrimaryUsers(), 6U) << step;
  }
  EXPECT_EQ(this->fleet.primary, "e1");
  this->fleet.SetDeaf("e3", false);
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e3");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Guards against a change that has begun and gives up the draining primary when the replica stops receiving.
TEST_P(SynchronousReplicas, ADrainingPrimaryReturnsIfTheReplicaStopsReceivingDuringTheChange) {
  this->fleet.SetDraining("e1", true);
  this->fleet.SetDraining("e2", true);
  this->fleet.RunFor(milliseconds(150));
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(6));
  if (this->fleet.primary == "e1") {
    EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
  }
  this->fleet.SetDeaf("e3", false);
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e3");
}

// Guards against a choice among the endpoints of the directory while the log that counts has just left it.
TEST_P(SynchronousReplicas, AnEndpointThatLeftWithItsLogIsWaitedFor) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.SetAbsent("e2", true);
  this->fleet.RunFor(milliseconds(50));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(4));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
  this->fleet.SetAbsent("e2", false);
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e2");
  EXPECT_EQ(this->GroupsAwaitingLog(), 0U);
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Guards against a wait for an endpoint that left long ago and whose log others have.
TEST_P(SynchronousReplicas, AnEndpointThatLeftIsForgottenOnceAnotherHasItsLog) {
  this->fleet.SetAbsent("e2", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.primary, "e3");
}

// Guards against a choice without a replica that doesn't answer.
TEST_P(SynchronousReplicas, AReplicaThatDoesNotAnswerIsWaitedFor) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.unreachable_from["e2"] = {0, 1, 2, 3, 4, 5};
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(4));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
  this->fleet.unreachable_from.clear();
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e2");
}

// Guards against the promotion of a replica that has caught up with an endpoint which has lost only the store, and
// still lets commits be acknowledged.
TEST_P(SynchronousReplicas, AnEndpointThatHasLostOnlyTheStoreIsWaitedFor) {
  this->fleet.SetCutFromStore("e2", true);
  this->fleet.RunFor(seconds(4));
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(milliseconds(200));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(4));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
  this->fleet.SetCutFromStore("e2", false);
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e2");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Guards against a wait for an endpoint that has lost only the store, and answers that it has nothing newer.
TEST_P(SynchronousReplicas, AnEndpointThatHasLostOnlyTheStoreIsAsked) {
  this->fleet.SetCutFromStore("e2", true);
  this->fleet.RunFor(seconds(4));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.primary, "e3");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Guards against new processes that don't know which endpoints have left.
TEST_P(SynchronousReplicas, NewProcessesWaitForAnEndpointThatLeftBefore) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(milliseconds(500));
  this->fleet.SetPowerless("e2", true);
  this->fleet.RunFor(seconds(2));
  for (std::size_t vm = 0; vm < this->fleet.VmCount(); ++vm) {
    this->fleet.Kill(vm);
  }
  this->fleet.RunFor(milliseconds(200));
  for (std::size_t vm = 0; vm < this->fleet.VmCount(); ++vm) {
    this->fleet.Restart(vm);
  }
  this->fleet.RunFor(seconds(1));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(7));
  EXPECT_EQ(this->fleet.primary, "e1");
  this->fleet.primary_responds = true;
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// The same when the store has lost the record that first named them, and the other replica is back.
TEST_P(SynchronousReplicas, ARestoreForgetsNoEndpointThatLeft) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(milliseconds(500));
  this->fleet.SetPowerless("e2", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.RestoreStore(seconds(60));
  this->fleet.RunFor(seconds(8));
  this->fleet.primary_responds = false;
  this->fleet.SetDeaf("e3", false);
  this->fleet.RunFor(seconds(7));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
}

// Guards against the promotion of the first replica that is back when both had left.
TEST_P(SynchronousReplicas, BothReplicasMayHaveLeftAtOnce) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(1));
  this->fleet.SetCutFromStore("e2", true);
  this->fleet.SetCutFromStore("e3", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.SetPowerless("e2", true);
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(2));
  this->fleet.SetCutFromStore("e3", false);
  this->fleet.RunFor(seconds(4));
  EXPECT_EQ(this->fleet.primary, "e1");
  this->fleet.SetPowerless("e2", false);
  this->fleet.SetCutFromStore("e2", false);
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e2");
}

// Guards against an endpoint that counts as one with all commits though it has started again with an empty log.
TEST_P(SynchronousReplicas, AnEndpointThatStartsAgainHasLostItsLog) {
  this->fleet.SetDeaf("e3", true);
  this->fleet.RunFor(seconds(2));
  this->fleet.primary_responds = false;
  this->fleet.StartAgain("e2");
  this->fleet.RunFor(seconds(5));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
  this->fleet.primary_responds = true;
  this->fleet.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
}

// Nobody can tell an endpoint without power from one that can't be reached and still lets commits be acknowledged. It
// is waited for, or for the primary, also if it left long ago.
TEST_P(SynchronousReplicas, AnEndpointWithoutPowerIsWaitedForUntilThePrimaryIsBack) {
  this->fleet.SetPowerless("e2", true);
  this->fleet.RunFor(seconds(60));
  this->fleet.primary_responds = false;
  this->fleet.RunFor(seconds(7));
  EXPECT_EQ(this->fleet.primary, "e1");
  EXPECT_EQ(this->GroupsAwaitingLog(), 1U);
  this->fleet.primary_responds = true;
  this->fleet.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.PrimaryUsers(), 6U);
  EXPECT_EQ(this->GroupsAwaitingLog(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SynchronousReplicas, testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace amaranthlane::coordination
