// A leaving endpoint gets no new statements after kInForceTimeout, and callers see no failures.

#include <gtest/gtest.h>

#include <thread>

#include "integration/object_edit.h"
#include "integration/tagged_load.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr std::chrono::milliseconds kObservationTime{1500};
constexpr std::chrono::milliseconds kLoadTimeout{4000};
// Additional time, after kInForceTimeout, for a change of primary delayed by unresponsive platform connections.
constexpr std::chrono::milliseconds kUnresponsivePlatformTimeout{1500};
constexpr std::uint64_t kMinDoneResponses = 60;

// A load whose writes go to the primary and whose reads go to replicas.
LoadOptions WriteAndLookupLoad(const FleetFixture& fleet) {
  LoadOptions options;
  options.vms = AllVms(fleet);
  options.read_kind = "lookup";
  return options;
}

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

// The number of an endpoint that is a replica.
std::size_t Replica(FleetFixture& fleet) { return fleet.Primary() == 3 ? 2 : 3; }

void ExpectStatementsAt(FleetFixture& fleet, std::size_t endpoint, const TaggedLoad& load) {
  const std::uint64_t before = StatementsRun(fleet, endpoint);
  ASSERT_TRUE(load.AwaitDone(kMinDoneResponses, kLoadTimeout));
  ASSERT_GT(StatementsRun(fleet, endpoint), before) << "the endpoint ran no statements before the edit";
}

// Checks that the endpoint runs no statement after kInForceTimeout while other endpoints serve the callers.
void ExpectNoStatementsAt(FleetFixture& fleet, std::size_t endpoint, const TaggedLoad& load, TimePoint accepted_at) {
  std::this_thread::sleep_for(accepted_at + kInForceTimeout - BootClock::now());
  const std::uint64_t before = StatementsRun(fleet, endpoint);
  const std::uint64_t done = load.Done();
  std::this_thread::sleep_for(kObservationTime);
  EXPECT_EQ(StatementsRun(fleet, endpoint), before);
  EXPECT_GT(load.Done(), done + kMinDoneResponses);
}

void ExpectAllDone(const LoadReport& report) {
  EXPECT_TRUE(report.not_done_responses.empty())
      << report.not_done_responses.size() << " responses other than done, such as "
      << report.not_done_responses.front();
  EXPECT_TRUE(report.unanswered.empty()) << report.unanswered.front();
  EXPECT_TRUE(report.misdelivered.empty()) << report.misdelivered.front();
}

TEST(LeavingEndpointTest, ALeavingReplicaGetsNoNewWork) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t replica = Replica(fleet);
  TaggedLoad load(fleet, WriteAndLookupLoad(fleet));
  ExpectStatementsAt(fleet, replica, load);
  const EditResponse edit = SetEndpointState(fleet, OtherVm(fleet.Leader()), replica, "leaving");
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  ExpectNoStatementsAt(fleet, replica, load, edit.received_at);
  ExpectAllDone(load.Stop());
}

TEST(LeavingEndpointTest, ALeavingPrimaryIsReplacedAndGetsNoNewWork) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t primary = fleet.Primary();
  TaggedLoad load(fleet, WriteAndLookupLoad(fleet));
  ExpectStatementsAt(fleet, primary, load);
  const EditResponse edit = SetEndpointState(fleet, OtherVm(fleet.Leader()), primary, "leaving");
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  ExpectNoStatementsAt(fleet, primary, load, edit.received_at);
  EXPECT_NE(fleet.Primary(), primary);
  ExpectAllDone(load.Stop());
}

TEST(LeavingEndpointTest, ASlowPlatformDoesNotDelayTheEdit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t replica = Replica(fleet);
  TaggedLoad load(fleet, WriteAndLookupLoad(fleet));
  ExpectStatementsAt(fleet, replica, load);
  fleet.ControlPlatform("vm_lag", Json{{"lag_ms", 60000}});
  fleet.ControlPlatform("delay", Json{{"delay_ms", 300}});
  const EditResponse edit = SetEndpointState(fleet, OtherVm(fleet.Leader()), replica, "leaving");
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  ExpectNoStatementsAt(fleet, replica, load, edit.received_at);
  ExpectAllDone(load.Stop());
}

TEST(LeavingEndpointTest, APlatformOutageAfterTheEditDoesNotDelayIt) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t replica = Replica(fleet);
  const std::size_t leader = fleet.Leader();
  TaggedLoad load(fleet, WriteAndLookupLoad(fleet));
  ExpectStatementsAt(fleet, replica, load);
  fleet.SetRoute("platform-vm-" + std::to_string(leader), Json{{"mode", "cut"}});
  const EditResponse edit = SetEndpointState(fleet, OtherVm(leader), replica, "leaving");
  fleet.ControlPlatform("outage", Json{{"on", true}});
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  ExpectNoStatementsAt(fleet, replica, load, edit.received_at);
  ExpectAllDone(load.Stop());
}

TEST(LeavingEndpointTest, ALeaderWithAnUnresponsiveWatchReceivesTheEdit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t primary = fleet.Primary();
  const std::size_t leader = fleet.Leader();
  TaggedLoad load(fleet, WriteAndLookupLoad(fleet));
  ExpectStatementsAt(fleet, primary, load);
  fleet.SetRoute("platform-vm-" + std::to_string(leader), Json{{"mode", "silent_open"}});
  const EditResponse edit = SetEndpointState(fleet, OtherVm(leader), primary, "leaving");
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  std::this_thread::sleep_for(edit.received_at + kInForceTimeout - BootClock::now());
  const std::uint64_t before = StatementsRun(fleet, primary);
  // The change of primary waits until the leader has closed its unresponsive connections to the platform.
  EXPECT_TRUE(FleetFixture::Await([&] { return fleet.Primary() != primary; }, kUnresponsivePlatformTimeout));
  EXPECT_TRUE(load.AwaitDone(kMinDoneResponses, kLoadTimeout));
  EXPECT_EQ(StatementsRun(fleet, primary), before);
  const LoadReport report = load.Stop();
  EXPECT_EQ(report.unknown, 0U);
  EXPECT_TRUE(report.unanswered.empty()) << report.unanswered.front();
}

}  // namespace
}  // namespace amaranthlane::testing
