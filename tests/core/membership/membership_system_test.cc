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
class SimulatedFleet {
 public:
  explicit SimulatedFleet(std::size_t count) : running(count, true) {
    for (std::size_t index = 0; index < count; ++index) {
      this->Start(index, 1);
    }
  }

  void Start(std::size_t index, Incarnation incarnation) {
    const Self self{NameOf(index), incarnation, "dub-a", "eu-west-dub", AddressOf(index)};
    this->systems.resize(std::max(this->systems.size(), index + 1), MembershipSystem(self, {}, kStart));
    this->systems[index] = MembershipSystem(self, {}, this->now);
    this->running[index] = true;
    this->Deliver(index, SeedsConfigured{{AddressOf(0), AddressOf(1)}});
  }

  void RunFor(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end; this->now += milliseconds(50)) {
      for (std::size_t index = 0; index < this->systems.size(); ++index) {
        if (this->running[index]) {
          this->Perform(index, this->systems[index].Tick(this->now, {}));
        }
      }
    }
  }

  void Deliver(std::size_t index, const Event& event) {
    this->Perform(index, this->systems[index].Tick(this->now, std::span(&event, 1)));
  }

  std::size_t CountRows(std::size_t observer, Liveness liveness) const {
    std::size_t count = 0;
    for (const auto& [name, row] : this->systems[observer].Vms()) {
      count += row.liveness == liveness ? 1 : 0;
    }
    return count;
  }

  TimePoint now = kStart;
  std::deque<MembershipSystem> systems;
  std::vector<bool> running;
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
        if (send->address == AddressOf(to) && this->running[to]) {
          const Heartbeat reply = this->systems[to].ReplyTo(send->heartbeat);
          this->Deliver(to, HeartbeatReceived{send->heartbeat});
          this->Deliver(from, HeartbeatReceived{reply});
        }
      }
    }
  }
};

TEST(MembershipSystemTest, VmsDiscoverEachOtherThroughSeeds) {
  SimulatedFleet fleet(9);
  fleet.RunFor(seconds(2));
  for (std::size_t index = 0; index < 9; ++index) {
    EXPECT_EQ(fleet.CountRows(index, Liveness::kLive), 8U) << index;
  }
}

TEST(MembershipSystemTest, SilentVmIsSuspectedThenDead) {
  SimulatedFleet fleet(3);
  fleet.RunFor(seconds(2));
  fleet.running[2] = false;
  // Its last heartbeat is up to one heartbeat interval old.
  fleet.RunFor(milliseconds(550));
  EXPECT_EQ(fleet.systems[0].Vms().at("vm-2").liveness, Liveness::kLive);
  fleet.RunFor(milliseconds(500));
  EXPECT_EQ(fleet.systems[0].Vms().at("vm-2").liveness, Liveness::kSuspected);
  fleet.RunFor(seconds(2));
  EXPECT_EQ(fleet.systems[0].Vms().at("vm-2").liveness, Liveness::kDead);
}

TEST(MembershipSystemTest, RestartUpdatesIncarnation) {
  SimulatedFleet fleet(3);
  fleet.RunFor(seconds(2));
  fleet.Start(2, 2);
  fleet.RunFor(milliseconds(500));
  EXPECT_EQ(fleet.systems[0].Vms().at("vm-2").incarnation, 2U);
}

TEST(MembershipSystemTest, LeavingIsLearntAtOnceFromHeartbeatsAndFromThePlatformList) {
  SimulatedFleet fleet(3);
  fleet.RunFor(seconds(2));
  fleet.Deliver(2, DrainStarted{});
  EXPECT_TRUE(fleet.systems[0].Vms().at("vm-2").Leaving());
  fleet.Deliver(0, PlatformListReceived{{{"vm-1", "dub-a", "eu-west-dub", AddressOf(1), true}}});
  EXPECT_TRUE(fleet.systems[0].Vms().at("vm-1").Leaving());
}

TEST(MembershipSystemTest, HeartbeatsTakePrecedenceOverThePlatformList) {
  SimulatedFleet fleet(3);
  fleet.Deliver(0, PlatformListReceived{{{"vm-1", "dub-a", "eu-west-dub", AddressOf(1), false}}});
  fleet.RunFor(seconds(2));
  fleet.Deliver(0, PlatformListReceived{});
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.systems[0].Vms().at("vm-1").liveness, Liveness::kLive);
  fleet.running[1] = false;
  fleet.RunFor(seconds(5));
  EXPECT_FALSE(fleet.systems[0].Vms().contains("vm-1"));
}

TEST(MembershipSystemTest, LocalPauseDoesNotMakeOtherVmsSuspected) {
  SimulatedFleet fleet(3);
  fleet.RunFor(seconds(2));
  fleet.now += seconds(10);
  EXPECT_TRUE(fleet.systems[0].Tick(fleet.now, {}).size() > 1);
  EXPECT_EQ(fleet.CountRows(0, Liveness::kLive), 2U);
}

TEST(MembershipSystemTest, LargeFleetLearnsOfADeathThroughDigests) {
  constexpr std::size_t kVms = 60;
  SimulatedFleet fleet(kVms);
  fleet.RunFor(seconds(30));
  EXPECT_EQ(fleet.CountRows(7, Liveness::kLive), kVms - 1);
  for (std::size_t index = 0; index < kVms; ++index) {
    const bool sends_to_vm_5 = index == 3;
    fleet.Deliver(index, HeartbeatPeersChanged{sends_to_vm_5 ? std::set<VmName>{"vm-5"} : std::set<VmName>{}, {}});
  }
  fleet.RunFor(seconds(5));
  fleet.running[5] = false;
  fleet.RunFor(seconds(15));
  std::size_t aware = 0;
  for (std::size_t index = 0; index < kVms; ++index) {
    aware += index != 5 && fleet.systems[index].Vms().at("vm-5").liveness == Liveness::kDead ? 1 : 0;
  }
  EXPECT_EQ(aware, kVms - 1);
  EXPECT_LE(fleet.largest_digest, MembershipSettings().max_digest_entries);
}

RC_GTEST_PROP(MembershipPropertyTest, HeartbeatRoundTripsThroughJson,
              (const std::string& name, std::uint64_t counter)) {
  Heartbeat heartbeat;
  heartbeat.sender = {"dub-a-1", counter, counter, VmState::kLeaving, "dub-a", "eu-west-dub", "10.0.0.1:7000"};
  const bool ascii = std::all_of(name.begin(), name.end(), [](char c) { return c > 0; });
  heartbeat.digest = {{ascii ? name : "x", 1, counter, VmState::kDead, "", "", ""}};
  RC_ASSERT(ParseHeartbeat(ToJson(heartbeat)) == heartbeat);
}

TEST(HeartbeatTest, RejectsUnknownStates) {
  nlohmann::json value = ToJson(Heartbeat{});
  value["sender"]["state"] = "asleep";
  EXPECT_THROW(ParseHeartbeat(value), ParseError);
}

}  // namespace
}  // namespace amaranthlane::membership
