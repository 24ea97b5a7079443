#include "core/membership/membership_system.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <string>

#include "common/error.h"

namespace amaranthlane::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

std::string NameOf(std::size_t index) { return "vm-" + std::to_string(index); }
std::string AddressOf(std::size_t index) { return "10.0.0." + std::to_string(index) + ":7000"; }

// Membership systems that exchange heartbeats without delay.
class Swarm {
 public:
  explicit Swarm(std::size_t count) : up(count, true) {
    for (std::size_t index = 0; index < count; ++index) {
      this->Start(index, 1);
    }
  }

  void Start(std::size_t index, Incarnation incarnation) {
    const Self self{NameOf(index), incarnation, "dub-a", "eu-west-dub", AddressOf(index)};
    this->systems.resize(std::max(this->systems.size(), index + 1), MembershipSystem(self, {}, kStart));
    this->systems[index] = MembershipSystem(self, {}, this->now);
    this->up[index] = true;
    this->Feed(index, SeedsGiven{{AddressOf(0), AddressOf(1)}});
  }

  void RunFor(Duration length) {
    for (const TimePoint end = this->now + length; this->now < end; this->now += milliseconds(50)) {
      for (std::size_t index = 0; index < this->systems.size(); ++index) {
        if (this->up[index]) {
          this->Perform(index, this->systems[index].Tick(this->now, {}));
        }
      }
    }
  }

  void Feed(std::size_t index, const Event& event) {
    this->Perform(index, this->systems[index].Tick(this->now, std::span(&event, 1)));
  }

  std::size_t CountSeen(std::size_t by, Liveness liveness) const {
    std::size_t count = 0;
    for (const auto& [name, row] : this->systems[by].Vms()) {
      count += row.liveness == liveness ? 1 : 0;
    }
    return count;
  }

  TimePoint now = kStart;
  std::deque<MembershipSystem> systems;
  std::vector<bool> up;
  std::size_t sent_bytes = 0;
  std::size_t largest_digest = 0;

 private:
  void Perform(std::size_t from, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      const auto* send = std::get_if<SendHeartbeat>(&action);
      if (send == nullptr) {
        continue;
      }
      this->sent_bytes += ToJson(send->heartbeat).dump().size();
      this->largest_digest = std::max(this->largest_digest, send->heartbeat.digest.size());
      for (std::size_t to = 0; to < this->systems.size(); ++to) {
        if (send->address == AddressOf(to) && this->up[to]) {
          const Heartbeat answer = this->systems[to].AnswerTo(send->heartbeat);
          this->Feed(to, HeartbeatReceived{send->heartbeat});
          this->Feed(from, HeartbeatReceived{answer});
        }
      }
    }
  }
};

TEST(MembershipSystemTest, VmsFindEachOtherFromTheSeeds) {
  Swarm swarm(9);
  swarm.RunFor(seconds(2));
  for (std::size_t index = 0; index < 9; ++index) {
    EXPECT_EQ(swarm.CountSeen(index, Liveness::kLive), 8U) << index;
  }
}

TEST(MembershipSystemTest, ASilentVmIsSuspectedThenDead) {
  Swarm swarm(3);
  swarm.RunFor(seconds(2));
  swarm.up[2] = false;
  // Its last heartbeat is up to one beat old.
  swarm.RunFor(milliseconds(550));
  EXPECT_EQ(swarm.systems[0].Vms().at("vm-2").liveness, Liveness::kLive);
  swarm.RunFor(milliseconds(500));
  EXPECT_EQ(swarm.systems[0].Vms().at("vm-2").liveness, Liveness::kSuspected);
  swarm.RunFor(seconds(2));
  EXPECT_EQ(swarm.systems[0].Vms().at("vm-2").liveness, Liveness::kDead);
}

TEST(MembershipSystemTest, ARestartedVmHasItsNewIncarnation) {
  Swarm swarm(3);
  swarm.RunFor(seconds(2));
  swarm.Start(2, 2);
  swarm.RunFor(milliseconds(500));
  EXPECT_EQ(swarm.systems[0].Vms().at("vm-2").incarnation, 2U);
}

TEST(MembershipSystemTest, LeavingIsHeardFromHeartbeatsAtOnceAndFromTheList) {
  Swarm swarm(3);
  swarm.RunFor(seconds(2));
  swarm.Feed(2, DrainStarted{});
  EXPECT_TRUE(swarm.systems[0].Vms().at("vm-2").Leaving());
  swarm.Feed(0, PlatformListSeen{{{"vm-1", "dub-a", "eu-west-dub", AddressOf(1), true}}});
  EXPECT_TRUE(swarm.systems[0].Vms().at("vm-1").Leaving());
}

TEST(MembershipSystemTest, HeartbeatsGoBeforeTheList) {
  Swarm swarm(3);
  swarm.Feed(0, PlatformListSeen{{{"vm-1", "dub-a", "eu-west-dub", AddressOf(1), false}}});
  swarm.RunFor(seconds(2));
  swarm.Feed(0, PlatformListSeen{});
  swarm.RunFor(seconds(1));
  EXPECT_EQ(swarm.systems[0].Vms().at("vm-1").liveness, Liveness::kLive);
  swarm.up[1] = false;
  swarm.RunFor(seconds(5));
  EXPECT_FALSE(swarm.systems[0].Vms().contains("vm-1"));
}

TEST(MembershipSystemTest, APauseOfItsOwnMakesNobodySilent) {
  Swarm swarm(3);
  swarm.RunFor(seconds(2));
  swarm.now += seconds(10);
  EXPECT_TRUE(swarm.systems[0].Tick(swarm.now, {}).size() > 1);
  EXPECT_EQ(swarm.CountSeen(0, Liveness::kLive), 2U);
}

TEST(MembershipSystemTest, ALargeFleetLearnsOfADeathThroughDigests) {
  constexpr std::size_t kVms = 60;
  Swarm swarm(kVms);
  swarm.RunFor(seconds(30));
  EXPECT_EQ(swarm.CountSeen(7, Liveness::kLive), kVms - 1);
  for (std::size_t index = 0; index < kVms; ++index) {
    const bool watches = index == 3;
    swarm.Feed(index, CloseVmsChanged{watches ? std::set<VmName>{"vm-5"} : std::set<VmName>{}, {}});
  }
  swarm.RunFor(seconds(5));
  swarm.up[5] = false;
  swarm.RunFor(seconds(15));
  std::size_t know = 0;
  for (std::size_t index = 0; index < kVms; ++index) {
    know += index != 5 && swarm.systems[index].Vms().at("vm-5").liveness == Liveness::kDead ? 1 : 0;
  }
  EXPECT_EQ(know, kVms - 1);
  EXPECT_LE(swarm.largest_digest, MembershipSettings().digest_entries);
}

RC_GTEST_PROP(MembershipPropertyTest, HeartbeatsSurviveJson, (const std::string& name, std::uint64_t counter)) {
  Heartbeat heartbeat;
  heartbeat.sender = {"dub-a-1", counter, counter, VmState::kLeaving, "dub-a", "eu-west-dub", "10.0.0.1:7000"};
  const bool ascii = std::all_of(name.begin(), name.end(), [](char c) { return c > 0; });
  heartbeat.digest = {{ascii ? name : "x", 1, counter, VmState::kDead, "", "", ""}};
  RC_ASSERT(ParseHeartbeat(ToJson(heartbeat)) == heartbeat);
}

TEST(HeartbeatTest, RefusesUnknownStates) {
  nlohmann::json value = ToJson(Heartbeat{});
  value["sender"]["state"] = "asleep";
  EXPECT_THROW(ParseHeartbeat(value), ParseError);
}

}  // namespace
}  // namespace amaranthlane::membership
