#include <gtest/gtest.h>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

TEST(FleetTest, AWriteIsReadThroughAnotherVmFromAReplica) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const CallerResponse written = fleet.Execute(1, PutStatement("a", "b", "key-1"));
  ASSERT_EQ(written.outcome, "done") << written.body;
  const CallerResponse read = fleet.Execute(2, GetStatement("lookup", "a", written.session_token));
  ASSERT_EQ(read.outcome, "done") << read.body;
  EXPECT_EQ(read.body.at("result").at("value"), "b");
  EXPECT_EQ(read.body.at("served_by").at("role"), "replica");
}

TEST(FleetTest, WritesGoOnAfterThePrimaryIsKilled) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  ASSERT_EQ(fleet.Add(1, "counter", "key-1").outcome, "done");
  fleet.Endpoint(fleet.Primary()).Kill();
  EXPECT_EQ(fleet.Add(2, "counter", "key-2").outcome, "done");
  EXPECT_EQ(fleet.ReadExact("counter"), 2);
}

TEST(FleetTest, WritesGoOnAfterTheLeaderIsKilled) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t other = leader == 1 ? 2 : 1;
  ASSERT_EQ(fleet.Add(other, "counter", "key-1").outcome, "done");
  fleet.Vm(leader).Kill();
  EXPECT_EQ(fleet.Add(other, "counter", "key-2", std::chrono::seconds(4)).outcome, "done");
  EXPECT_EQ(fleet.ReadExact("counter"), 2);
}

}  // namespace
}  // namespace amaranthlane::testing
