#include "core/leadership/leadership_system.h"

#include <gtest/gtest.h>

#include "core/leadership/fleet.h"

namespace amaranthlane::leadership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TrueTime kSettlingTime = seconds(15);

class LeadershipSystemTest : public testing::Test {
 protected:
  LeadershipSystemTest() : fleet(5, {"register-1"}, 42) {
    this->fleet.RunUntil(kSettlingTime);
    this->leader = this->fleet.Leader("register-1").value();
  }

  ~LeadershipSystemTest() override { EXPECT_EQ(this->fleet.violation, std::nullopt); }

  // Runs until another VM than the first leader is the valid leader. Returns how long that took.
  TrueTime WaitForOtherLeader(TrueTime limit) {
    const TrueTime from = this->fleet.now;
    while (this->fleet.now < from + limit) {
      this->fleet.RunFor(milliseconds(10));
      const std::optional<std::size_t> now_leading = this->fleet.Leader("register-1");
      if (now_leading && *now_leading != this->leader) {
        return this->fleet.now - from;
      }
    }
    ADD_FAILURE() << "no other leader within the limit";
    return limit;
  }

  std::size_t Successor(std::size_t rank) const {
    const VmName& vm = this->fleet.nodes[this->leader].system->Record("register-1")->successors.at(rank);
    return static_cast<std::size_t>(std::stoul(vm.substr(3)));
  }

  Fleet fleet;
  std::size_t leader = 0;
};

TEST_F(LeadershipSystemTest, AKilledLeaderIsReplacedWithinFourSeconds) {
  this->fleet.Kill(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(10)), seconds(4));
}

TEST_F(LeadershipSystemTest, AKilledLeaderIsReplacedWithinFourSecondsDuringAnOutage) {
  const std::size_t first = this->Successor(0);
  this->fleet.conditions.platform_outage = true;
  this->fleet.Kill(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(10)), seconds(4));
  EXPECT_EQ(this->fleet.Leader("register-1"), first);
  EXPECT_EQ(this->fleet.nodes[first].system->Record("register-1")->leader.vm, this->fleet.nodes[this->leader].vm);
  this->fleet.conditions.platform_outage = false;
  this->fleet.RunFor(seconds(5));
  EXPECT_EQ(this->fleet.nodes[first].system->Record("register-1")->leader.vm, this->fleet.nodes[first].vm);
  EXPECT_EQ(this->fleet.Leader("register-1"), first);
}

TEST_F(LeadershipSystemTest, TheSecondSuccessorTakesOverWhenTheFirstIsKilledDuringAnOutage) {
  const std::size_t second = this->Successor(1);
  this->fleet.conditions.platform_outage = true;
  this->fleet.Kill(this->Successor(0));
  this->fleet.Kill(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(10)), seconds(4));
  EXPECT_EQ(this->fleet.Leader("register-1"), second);
}

TEST_F(LeadershipSystemTest, ALiveLeaderKeepsLeadingThroughALongOutage) {
  this->fleet.conditions.platform_outage = true;
  for (int step = 0; step < 600; ++step) {
    this->fleet.RunFor(milliseconds(200));
    ASSERT_EQ(this->fleet.Leader("register-1"), this->leader) << this->fleet.now.count();
  }
}

TEST_F(LeadershipSystemTest, WitnessesThatRestartDuringAnOutageGrantAgain) {
  this->fleet.conditions.platform_outage = true;
  for (std::size_t index = 0; index < this->fleet.nodes.size(); ++index) {
    if (index != this->leader) {
      this->fleet.Kill(index);
      this->fleet.RunFor(milliseconds(500));
      this->fleet.Start(index);
      this->fleet.RunFor(seconds(5));
      ASSERT_EQ(this->fleet.Leader("register-1"), this->leader);
    }
  }
}

TEST_F(LeadershipSystemTest, WritesNothingToThePlatformWhileNothingChanges) {
  this->fleet.RunFor(seconds(20));
  const std::uint64_t writes = this->fleet.platform_writes;
  this->fleet.RunFor(seconds(60));
  EXPECT_EQ(this->fleet.platform_writes, writes);
}

TEST_F(LeadershipSystemTest, ADrainedLeaderIsReplacedAtOnce) {
  this->fleet.Drain(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(5)), milliseconds(500));
}

TEST_F(LeadershipSystemTest, ALeaderDrainedDuringAnOutageIsReplacedAtOnce) {
  this->fleet.conditions.platform_outage = true;
  this->fleet.Drain(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(5)), milliseconds(500));
}

TEST_F(LeadershipSystemTest, ARestartedLeaderLeavesTheGroupToItsSuccessor) {
  this->fleet.Kill(this->leader);
  this->fleet.RunFor(milliseconds(100));
  this->fleet.Start(this->leader);
  EXPECT_LT(this->WaitForOtherLeader(seconds(10)), seconds(4));
}

TEST_F(LeadershipSystemTest, APausedLeaderIsNoLongerValidWhenItResumes) {
  this->fleet.Pause(this->leader, seconds(8));
  this->WaitForOtherLeader(seconds(7));
  this->fleet.RunFor(seconds(9));
  EXPECT_EQ(this->fleet.ValidLeaders("register-1").size(), 1U);
  EXPECT_NE(this->fleet.Leader("register-1"), this->leader);
}

TEST_F(LeadershipSystemTest, AnIsolatedSuccessorDoesNotTakeOver) {
  const std::size_t first = this->Successor(0);
  this->fleet.Isolate(first, seconds(10));
  for (int step = 0; step < 120; ++step) {
    this->fleet.RunFor(milliseconds(100));
    ASSERT_EQ(this->fleet.Leader("register-1"), this->leader);
  }
}

TEST_F(LeadershipSystemTest, AllVmsRouteToAHolderThatTookOverDuringAnOutage) {
  this->fleet.conditions.platform_outage = true;
  this->fleet.Kill(this->leader);
  this->WaitForOtherLeader(seconds(10));
  this->fleet.RunFor(seconds(1));
  const VmName holder = this->fleet.nodes[this->fleet.Leader("register-1").value()].vm;
  for (const Node& node : this->fleet.nodes) {
    if (node.up) {
      EXPECT_EQ(node.system->CurrentLeader("register-1"), holder) << node.vm;
    }
  }
}

}  // namespace
}  // namespace amaranthlane::leadership
