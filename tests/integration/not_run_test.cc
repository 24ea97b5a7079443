#include <gtest/gtest.h>

#include <thread>

#include "integration/fleet_fixture.h"
#include "integration/outcome_checker.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kShortTimeLimit(400);
constexpr std::chrono::milliseconds kLongTimeLimit(3000);

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

std::string EndpointRoute(std::size_t endpoint) { return "endpoint-" + std::to_string(endpoint); }

std::string PeersRoute(std::size_t vm) { return "peers-vm-" + std::to_string(vm); }

// Sends concurrent requests while the fault on the route begins and while it is active, then clears the fault and sends
// requests until one is `done`.
void SendUnderFault(FleetFixture& fleet, OutcomeChecker& checker, const std::string& route, const Json& fault) {
  std::jthread callers([&] { checker.AddAtOnce(9, {1, 2, 3}, kShortTimeLimit); });
  fleet.SetRoute(route, fault);
  checker.AddAtOnce(9, {1, 2, 3}, kShortTimeLimit);
  callers.join();
  fleet.SetRoute(route, Json{{"mode", "pass"}});
  FleetFixture::Await([&] { return checker.Add(1, kShortTimeLimit).outcome == "done"; });
}

// The platform is down, so that no promotion can hide the fault from the callers.
TEST(NotRunTest, TheEndpointIsCutBeforeDuringAndAfterTheSend) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "endpoint");
  const std::string route = EndpointRoute(fleet.Primary());
  fleet.ControlPlatform("outage", Json{{"on", true}});
  SendUnderFault(fleet, checker, route, Json{{"mode", "cut"}});
  EXPECT_GT(checker.CountOutcome("not_run"), 0U);
  for (const char* mode : {"freeze", "drop_to_target", "drop_to_client", "silent_open"}) {
    SendUnderFault(fleet, checker, route, Json{{"mode", mode}});
  }
  SendUnderFault(fleet, checker, route, Json{{"mode", "truncate_answer"}, {"bytes", 20}});
  EXPECT_GT(checker.CountOutcome("unknown"), 0U);
  EXPECT_EQ(checker.Contradictions(), "");
}

TEST(NotRunTest, TheLeaderIsCutOffFromTheEntryBeforeDuringAndAfterTheSend) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "peers");
  for (const char* mode : {"cut", "freeze", "drop_to_target", "drop_to_client", "silent_open"}) {
    SendUnderFault(fleet, checker, PeersRoute(fleet.Leader()), Json{{"mode", mode}});
  }
  SendUnderFault(fleet, checker, PeersRoute(fleet.Leader()), Json{{"mode", "truncate_answer"}, {"bytes", 20}});
  EXPECT_GT(checker.CountOutcome("unknown") + checker.CountOutcome("not_run"), 0U);
  EXPECT_EQ(checker.Contradictions(), "");
}

TEST(NotRunTest, ExcessRequestsAreRefused) {
  FleetFixture fleet(FleetOptions{.slots = 2, .service_time = std::chrono::milliseconds(20)});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "flood");
  checker.AddAtOnce(200, {1, 2, 3}, std::chrono::milliseconds(500));
  EXPECT_GT(checker.CountOutcome("done"), 0U);
  EXPECT_GT(checker.CountOutcome("not_run"), 0U);
  EXPECT_EQ(checker.Contradictions(), "");
}

TEST(NotRunTest, TheLeaderShutsDown) {
  FleetFixture fleet(FleetOptions{.service_time = std::chrono::milliseconds(20)});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "shutdown");
  const std::size_t leader = fleet.Leader();
  std::jthread callers([&] {
    for (int round = 0; round < 6; ++round) {
      checker.AddAtOnce(12, {leader, OtherVm(leader)}, kLongTimeLimit);
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(fleet.Vm(leader).Terminate(), 0);
  callers.join();
  EXPECT_GT(checker.CountOutcome("done"), 0U);
  EXPECT_EQ(checker.Contradictions(), "");
}

TEST(NotRunTest, TheLeaderIsKilled) {
  FleetFixture fleet(FleetOptions{.service_time = std::chrono::milliseconds(20)});
  fleet.AwaitReady();
  OutcomeChecker checker(fleet, "killed");
  const std::size_t leader = fleet.Leader();
  std::jthread callers([&] {
    for (int round = 0; round < 6; ++round) {
      checker.AddAtOnce(12, {leader, OtherVm(leader)}, kShortTimeLimit);
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fleet.Vm(leader).Kill();
  // A lost VM refuses connections; the proxy in front of it does so only in the mode `cut`.
  fleet.SetRoute(PeersRoute(leader), Json{{"mode", "cut"}});
  callers.join();
  EXPECT_GT(checker.CountOutcome("not_run"), 0U);
  EXPECT_EQ(checker.Contradictions(), "");
}

}  // namespace
}  // namespace amaranthlane::testing
