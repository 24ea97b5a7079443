#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "integration/fleet_fixture.h"
#include "integration/outcome_checker.h"
#include "integration/partition.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kFailoverTimeout(12);

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

// A write acknowledged by the primary alone, so that only the leader's lease prevents a replaced primary's
// acknowledgement from reaching the caller.
CallerStatement PutNoteAtPrimary(const std::string& key, std::chrono::milliseconds time_limit) {
  CallerStatement statement = PutStatement(key, "yes", "key-" + key);
  statement.kind = "note-at-primary";
  statement.time_limit = time_limit;
  return statement;
}

// Stops replication from the primary: later commits reach no replica.
void CutOffReplicas(FleetFixture& fleet, std::size_t primary) {
  for (std::size_t endpoint = 1; endpoint <= fleet.EndpointCount(); ++endpoint) {
    fleet.SetRoute("endpoint-" + std::to_string(primary),
                   Json{{"mode", "freeze"}, {"from", "127.0.2." + std::to_string(endpoint)}});
  }
}

bool AwaitDoneThrough(OutcomeChecker& checker, std::size_t vm) {
  return FleetFixture::Await([&] { return checker.Add(vm, std::chrono::seconds(2)).outcome == "done"; },
                             kFailoverTimeout);
}

std::uint64_t CurrentTerm(FleetFixture& fleet) {
  return fleet.Platform("GET", "/v1/objects/database_groups/group-1").body.at("value").at("term").get<std::uint64_t>();
}

// The leader and its primary are isolated together, while callers still reach the leader.
TEST(ReplacedPrimaryTest, IsolatedWithItsLeaderAndCallers) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  OutcomeChecker isolated(fleet, "isolated");
  OutcomeChecker others(fleet, "others");
  Partition partition(fleet, IsolatedMembers{{leader}, {fleet.Primary()}});
  std::jthread callers([&](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      isolated.Add(leader, std::chrono::milliseconds(300));
    }
  });
  ASSERT_TRUE(AwaitDoneThrough(others, OtherVm(leader)));
  // The primary has been replaced: its commits must no longer be acknowledged, and its reads are no longer exact.
  for (int round = 0; round < 5; ++round) {
    const CallerResponse late_write =
        fleet.Execute(leader, PutNoteAtPrimary("late-" + std::to_string(round), std::chrono::milliseconds(300)));
    EXPECT_NE(late_write.outcome, "done") << late_write.body;
    CallerStatement read = GetStatement("exact", "ready", "");
    read.time_limit = std::chrono::milliseconds(300);
    EXPECT_NE(fleet.Execute(leader, read).outcome, "done");
  }
  callers = {};
  EXPECT_EQ(isolated.CountOutcome("done"), 0);
  partition.Heal();
  EXPECT_TRUE(AwaitDoneThrough(others, leader));
  EXPECT_EQ(isolated.Contradictions(), "");
  EXPECT_EQ(others.Contradictions(), "");
}

// The leader is paused while the primary runs a statement. After the primary is replaced, the resumed leader reads the
// old primary's response. It may report `done` only if the write survived the replacement.
TEST(ReplacedPrimaryTest, TheLeaderIsPausedWhileACallerWaits) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t primary = fleet.Primary();
  OutcomeChecker others(fleet, "others");
  ASSERT_TRUE(FleetFixture::Await(
      [&] { return fleet.Execute(leader, PutNoteAtPrimary("before", std::chrono::seconds(2))).outcome == "done"; }));
  CutOffReplicas(fleet, primary);
  fleet.ControlEndpoint(primary, "POST", "service_time", Json{{"service_us", 200'000}});
  std::future<CallerResponse> waiting = std::async(
      std::launch::async, [&] { return fleet.Execute(leader, PutNoteAtPrimary("slept", std::chrono::seconds(20))); });
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  fleet.Vm(leader).Pause();
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  fleet.Endpoint(primary).Pause();
  EXPECT_TRUE(AwaitDoneThrough(others, OtherVm(leader)));
  fleet.Vm(leader).Resume();
  const CallerResponse response = waiting.get();
  const Json value = fleet.ReadExact("slept");
  EXPECT_TRUE(response.outcome != "done" || value == "yes") << response.body << " but the value is " << value;
  EXPECT_EQ(others.Contradictions(), "");
}

// Callers wait at a leader that is paused until its lease has expired; the outcomes that it reports after it resumes
// must be true.
TEST(ReplacedPrimaryTest, TheLeaderIsPausedUnderLoad) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  OutcomeChecker waiting(fleet, "waiting");
  OutcomeChecker others(fleet, "others");
  fleet.ControlEndpoint(fleet.Primary(), "POST", "service_time", Json{{"service_us", 100'000}});
  std::jthread callers([&] { waiting.AddAtOnce(20, {leader}, std::chrono::seconds(8)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  fleet.Vm(leader).Pause();
  EXPECT_TRUE(AwaitDoneThrough(others, OtherVm(leader)));
  fleet.Endpoint(fleet.Primary()).Kill();
  EXPECT_TRUE(AwaitDoneThrough(others, OtherVm(leader)));
  fleet.Vm(leader).Resume();
  callers.join();
  EXPECT_EQ(waiting.Contradictions(), "");
  EXPECT_EQ(others.Contradictions(), "");
}

TEST(ReplacedPrimaryTest, TheResponseToThePromotionIsLost) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "lost");
  ASSERT_TRUE(AwaitDoneThrough(checker, 1));
  const std::uint64_t term = CurrentTerm(fleet);
  fleet.DropResponses("platform-vm-" + std::to_string(fleet.Leader()), 1, "PUT /v1/objects/database_groups");
  fleet.Endpoint(fleet.Primary()).Kill();
  for (std::size_t vm = 1; vm <= fleet.VmCount(); ++vm) {
    EXPECT_TRUE(AwaitDoneThrough(checker, vm));
  }
  EXPECT_EQ(CurrentTerm(fleet), term + 1);
  EXPECT_EQ(checker.Contradictions(), "");
}

TEST(ReplacedPrimaryTest, ThePrimaryIsKilledDuringAPlatformOutage) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "down");
  fleet.ControlPlatform("outage", Json{{"on", true}});
  EXPECT_EQ(checker.Add(1, std::chrono::seconds(3)).outcome, "done") << "the leader and the primary still run";
  fleet.Endpoint(fleet.Primary()).Kill();
  checker.AddAtOnce(6, {1, 2, 3}, std::chrono::seconds(1));
  EXPECT_EQ(checker.CountOutcome("done"), 1) << "no new primary can be agreed on without the platform";
  fleet.ControlPlatform("outage", Json{{"on", false}});
  EXPECT_TRUE(AwaitDoneThrough(checker, 2));
  EXPECT_EQ(checker.Contradictions(), "");
}

// An outcome query reports `done` only once a replica has the commit, like the commit's own acknowledgement.
TEST(ReplacedPrimaryTest, OutcomeQueryForAnUnreplicatedCommit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t primary = fleet.Primary();
  // Without the platform the primary keeps its role although no replica follows it.
  fleet.ControlPlatform("outage", Json{{"on", true}});
  CutOffReplicas(fleet, primary);
  EXPECT_EQ(fleet.Add(1, "counter", "key-1", std::chrono::milliseconds(300)).outcome, "unknown");
  const CallerResponse response =
      fleet.Call(2, "GET", "/v1/groups/group-1/outcomes/key-1", Json(), {}, std::chrono::seconds(6));
  EXPECT_NE(response.outcome, "done") << response.body;
  fleet.Endpoint(primary).Kill();
  fleet.ControlPlatform("outage", Json{{"on", false}});
  OutcomeChecker others(fleet, "others");
  EXPECT_TRUE(AwaitDoneThrough(others, 1));
  EXPECT_EQ(fleet.ReadExact("counter"), Json());
}

// A leader that fails while the platform is down is replaced by a successor agreed on beforehand.
TEST(ReplacedPrimaryTest, TheLeaderIsPausedDuringAPlatformOutage) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  OutcomeChecker waiting(fleet, "waiting");
  OutcomeChecker others(fleet, "others");
  fleet.ControlPlatform("outage", Json{{"on", true}});
  std::jthread callers([&] { waiting.AddAtOnce(10, {leader}, std::chrono::seconds(5)); });
  fleet.Vm(leader).Pause();
  EXPECT_TRUE(AwaitDoneThrough(others, OtherVm(leader)));
  fleet.Vm(leader).Resume();
  callers.join();
  fleet.ControlPlatform("outage", Json{{"on", false}});
  EXPECT_EQ(waiting.Contradictions(), "");
  EXPECT_EQ(others.Contradictions(), "");
}

}  // namespace
}  // namespace amaranthlane::testing
