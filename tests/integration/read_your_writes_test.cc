#include <gtest/gtest.h>

#include <thread>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kFailoverTimeout(10);

std::size_t NextVm(const FleetFixture& fleet, std::size_t vm) { return vm % fleet.VmCount() + 1; }

// The VM in the data centre of endpoint 3; its reads go to endpoint 3 whenever that may serve them.
constexpr std::size_t kVmNearEndpoint3 = 3;

void SetLag(FleetFixture& fleet, std::size_t endpoint, std::chrono::milliseconds lag) {
  fleet.ControlEndpoint(endpoint, "POST", "lag", Json{{"lag_ms", lag.count()}});
}

// Makes endpoint 3 lag, and waits until it serves reads without a session token. From then on only the token protects a
// session from stale data there.
void DelayEndpoint3(FleetFixture& fleet, std::chrono::milliseconds lag) {
  SetLag(fleet, 3, lag);
  ASSERT_TRUE(FleetFixture::Await([&] {
    const CallerResponse read = fleet.Execute(kVmNearEndpoint3, GetStatement("lookup", "ready", ""));
    return read.outcome == "done" && read.body.at("served_by").at("endpoint") == "endpoint-3";
  }));
}

// Repeats a write with the same idempotency key until it is done or the timeout expires; returns the last response.
CallerResponse PutUntilDone(FleetFixture& fleet, std::size_t vm, const CallerStatement& statement) {
  CallerResponse response;
  FleetFixture::Await(
      [&] {
        response = fleet.Execute(vm, statement);
        return response.outcome == "done";
      },
      kFailoverTimeout);
  return response;
}

// Reads a key, possibly from a replica, until a read is done. Null when none succeeds in time.
Json ReadUntilDone(FleetFixture& fleet, std::size_t vm, const std::string& key, const std::string& token) {
  Json value;
  FleetFixture::Await(
      [&] {
        const CallerResponse response = fleet.Execute(vm, GetStatement("lookup", key, token));
        if (response.outcome == "done") {
          value = response.body.at("result").at("value");
        }
        return response.outcome == "done";
      },
      kFailoverTimeout);
  return value;
}

// Reads a key repeatedly through the VM near endpoint 3, or through VM 1 if that VM was killed.
void ReadRepeatedly(FleetFixture& fleet, const std::string& key, const std::string& token, const std::string& value) {
  const std::size_t vm = fleet.Vm(kVmNearEndpoint3).Running() ? kVmNearEndpoint3 : 1;
  for (int round = 0; round < 15; ++round) {
    ASSERT_EQ(ReadUntilDone(fleet, vm, key, token), value);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

// Writes a key repeatedly, each time through the VM that served the previous read, and reads it back through the next
// VM with the write's session token.
void WriteAndReadAcrossVms(FleetFixture& fleet, const std::string& name, int rounds) {
  std::string token;
  std::size_t vm = 1;
  for (int round = 0; round < rounds; ++round) {
    const std::string value = "value-" + std::to_string(round);
    CallerStatement put = PutStatement(name, value, name + "-" + std::to_string(round));
    put.session_token = token;
    const CallerResponse written = PutUntilDone(fleet, vm, put);
    ASSERT_EQ(written.outcome, "done") << written.body;
    token = written.session_token;
    vm = NextVm(fleet, vm);
    ASSERT_EQ(ReadUntilDone(fleet, vm, name, token), value);
  }
}

TEST(ReadYourWritesTest, OneReplicaLagsBehind) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  DelayEndpoint3(fleet, std::chrono::seconds(3));
  WriteAndReadAcrossVms(fleet, "roaming", 20);
}

TEST(ReadYourWritesTest, AllReplicasLagBehind) {
  FleetFixture fleet(FleetOptions{.replication_lag = std::chrono::milliseconds(300)});
  fleet.AwaitReady();
  WriteAndReadAcrossVms(fleet, "roaming", 5);
}

TEST(ReadYourWritesTest, ThePrimaryIsKilledAndAReplicaLags) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  DelayEndpoint3(fleet, std::chrono::seconds(3));
  const CallerResponse written = fleet.Execute(1, PutStatement("a", "b", "key-1"));
  ASSERT_EQ(written.outcome, "done") << written.body;
  fleet.Endpoint(fleet.Primary()).Kill();
  EXPECT_EQ(ReadUntilDone(fleet, 2, "a", written.session_token), "b");
  ASSERT_EQ(PutUntilDone(fleet, 3, PutStatement("c", "d", "key-2")).outcome, "done");
  ReadRepeatedly(fleet, "a", written.session_token, "b");
}

TEST(ReadYourWritesTest, TheLeaderIsKilledAndAReplicaLags) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  DelayEndpoint3(fleet, std::chrono::seconds(3));
  const std::size_t leader = fleet.Leader();
  const std::size_t entry = NextVm(fleet, leader);
  const CallerResponse written = fleet.Execute(leader, PutStatement("a", "b", "key-1"));
  ASSERT_EQ(written.outcome, "done") << written.body;
  fleet.Vm(leader).Kill();
  EXPECT_EQ(ReadUntilDone(fleet, entry, "a", written.session_token), "b");
  ReadRepeatedly(fleet, "a", written.session_token, "b");
}

TEST(ReadYourWritesTest, TheSessionRoamsWhileThePrimaryIsKilled) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  DelayEndpoint3(fleet, std::chrono::milliseconds(300));
  const std::size_t primary = fleet.Primary();
  std::jthread killer([&fleet, primary] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fleet.Endpoint(primary).Kill();
  });
  WriteAndReadAcrossVms(fleet, "before", 60);
  killer.join();
  WriteAndReadAcrossVms(fleet, "after", 3);
}

TEST(ReadYourWritesTest, AReplicaIsFrozen) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  fleet.ControlEndpoint(2, "POST", "freeze", Json{{"on", true}});
  WriteAndReadAcrossVms(fleet, "roaming", 6);
  const CallerResponse written = PutUntilDone(fleet, 1, PutStatement("thawed", "yes", "key-thawed"));
  ASSERT_EQ(written.outcome, "done") << written.body;
  fleet.ControlEndpoint(2, "POST", "freeze", Json{{"on", false}});
  for (int round = 0; round < 6; ++round) {
    ASSERT_EQ(ReadUntilDone(fleet, 2, "thawed", written.session_token), "yes");
  }
}

}  // namespace
}  // namespace amaranthlane::testing
