// An accepted edit is in force on every VM within its limit and never reverts.

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "integration/object_edit.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;
using Vms = std::vector<std::size_t>;

constexpr std::size_t kVms = 6;
constexpr std::chrono::milliseconds kObservation{1500};
constexpr std::chrono::milliseconds kSampleInterval{30};
// Within this time a change has answered the watches, and new ones are open.
constexpr std::chrono::milliseconds kWatchTime{700};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

FleetOptions SixVms() {
  FleetOptions options;
  options.vms = kVms;
  return options;
}

// Waits until callers at each of the VMs meet the edit; false when one VM is later than the limit allows.
bool InForce(FleetFixture& fleet, const Vms& vms, bool needs_key, TimePoint accepted_at) {
  const TimePoint deadline = accepted_at + kInForceLimit;
  std::vector<std::future<bool>> waits;
  for (const std::size_t vm : vms) {
    waits.push_back(std::async(std::launch::async, [&fleet, vm, needs_key, deadline] {
      while (BootClock::now() < deadline) {
        if (NoteNeedsKey(fleet, vm) == needs_key) {
          return true;
        }
        std::this_thread::sleep_for(kSampleInterval);
      }
      ADD_FAILURE() << "not in force in time at VM " << vm;
      return false;
    }));
  }
  bool all = true;
  for (std::future<bool>& wait : waits) {
    all = wait.get() && all;
  }
  return all;
}

// Waits until each of the VMs holds this version of the note's selector, which nobody changes meanwhile.
bool HoldVersion(FleetFixture& fleet, const Vms& vms, std::uint64_t version, TimePoint accepted_at) {
  for (const std::size_t vm : vms) {
    std::uint64_t held = HeldVersion(fleet, vm, "selectors", "note");
    while (held != version && BootClock::now() < accepted_at + kInForceLimit) {
      std::this_thread::sleep_for(kSampleInterval);
      held = HeldVersion(fleet, vm, "selectors", "note");
    }
    if (held != version) {
      ADD_FAILURE() << "VM " << vm << " holds version " << held << " instead of " << version;
      return false;
    }
  }
  return true;
}

// Whether callers at each of the VMs meet the edit each time during the observation.
bool Stays(FleetFixture& fleet, const Vms& vms, bool needs_key) {
  const TimePoint end = BootClock::now() + kObservation;
  while (BootClock::now() < end) {
    for (const std::size_t vm : vms) {
      if (NoteNeedsKey(fleet, vm) != needs_key) {
        ADD_FAILURE() << "reverted at VM " << vm;
        return false;
      }
    }
    std::this_thread::sleep_for(kSampleInterval);
  }
  return true;
}

// How many watches the VM has opened.
double WatchCalls(FleetFixture& fleet, std::size_t vm) {
  const std::string text = fleet.Operate(vm, "GET", "/metrics").text;
  const std::string name = "amaranthlane_platform_calls_total{kind=\"watch\"} ";
  const std::size_t at = text.find(name);
  return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
}

// The VMs that watch the platform: those that open new watches when a change has answered theirs.
Vms Relays(FleetFixture& fleet) {
  // The first change ends the watches that other VMs opened before they knew their peers.
  EditNote(fleet, 1, true);
  std::this_thread::sleep_for(kWatchTime);
  std::vector<double> before;
  for (const std::size_t vm : AllVms(fleet)) {
    before.push_back(WatchCalls(fleet, vm));
  }
  EditNote(fleet, 1, true);
  std::this_thread::sleep_for(kWatchTime);
  Vms relays;
  for (const std::size_t vm : AllVms(fleet)) {
    if (WatchCalls(fleet, vm) > before[vm - 1]) {
      relays.push_back(vm);
    }
  }
  return relays;
}

TEST(EditsTest, AnEditIsInForceEverywhere) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  ASSERT_FALSE(NoteNeedsKey(fleet, 1));
  const EditAnswer edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(InForce(fleet, AllVms(fleet), true, edit.answered_at));
  EXPECT_TRUE(Stays(fleet, AllVms(fleet), true));
}

TEST(EditsTest, AnEditOutlivesTheRelays) {
  FleetOptions options = SixVms();
  // Only two VMs of a data centre watch the platform.
  options.data_centres = 1;
  FleetFixture fleet(options);
  fleet.AwaitReady();
  const Vms relays = Relays(fleet);
  ASSERT_EQ(relays.size(), 2U);
  Vms others = AllVms(fleet);
  std::erase_if(others, [&relays](std::size_t vm) { return vm == relays[0] || vm == relays[1]; });
  for (const std::size_t relay : relays) {
    fleet.SetRoute("platform-vm-" + std::to_string(relay), Json{{"mode", "cut"}});
  }
  const EditAnswer edit = EditNote(fleet, others.front(), false);
  fleet.Vm(relays[0]).Kill();
  fleet.Vm(relays[1]).Kill();
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(InForce(fleet, others, true, edit.answered_at));
  EXPECT_TRUE(Stays(fleet, others, true));
}

TEST(EditsTest, AnEditPassesSilentWatches) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  for (const std::size_t vm : AllVms(fleet)) {
    fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "silent_open"}});
  }
  const EditAnswer edit = EditNote(fleet, 3, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(InForce(fleet, AllVms(fleet), true, edit.answered_at));
  EXPECT_TRUE(Stays(fleet, AllVms(fleet), true));
}

TEST(EditsTest, AnEditOutlivesThePlatform) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  // Nobody but the VM that took the edit can have it from the platform.
  for (const std::size_t vm : AllVms(fleet)) {
    if (vm != 4) {
      fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "cut"}});
    }
  }
  const EditAnswer edit = EditNote(fleet, 4, false);
  fleet.ControlPlatform("outage", Json{{"on", true}});
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(InForce(fleet, AllVms(fleet), true, edit.answered_at));
  for (const std::size_t vm : AllVms(fleet)) {
    fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "pass"}});
  }
  fleet.ControlPlatform("outage", Json{{"on", false}});
  EXPECT_TRUE(Stays(fleet, AllVms(fleet), true));
}

TEST(EditsTest, OneOfTwoRacingOperatorsWins) {
  constexpr int kRounds = 5;
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  std::uint64_t version = HeldVersion(fleet, 1, "selectors", "note");
  for (int round = 0; round < kRounds; ++round) {
    const auto write = [&fleet, version](std::size_t vm, bool idempotent) {
      const Json body{{"expected_version", version}, {"value", NoteSelector(idempotent)}};
      return fleet.Operate(vm, "PUT", "/v1/objects/selectors/note", body);
    };
    std::future<HttpAnswer> other = std::async(std::launch::async, write, 5, true);
    const HttpAnswer first = write(1, false);
    const HttpAnswer second = other.get();
    const TimePoint accepted_at = BootClock::now();
    ASSERT_EQ(first.status + second.status, kStatusOk + kStatusConflict) << first.text << second.text;
    const bool first_won = first.status == kStatusOk;
    const Json& lost = first_won ? second.body : first.body;
    EXPECT_EQ(lost.at("type"), "urn:amaranthlane:conflict") << lost;
    EXPECT_EQ(lost.at("effect"), "not_applied") << lost;
    EXPECT_EQ(lost.at("mine").at("value").at("owes"), NoteSelector(first_won).at("owes")) << lost;
    EXPECT_EQ(lost.at("current").at("value").at("owes"), NoteSelector(!first_won).at("owes")) << lost;
    EXPECT_TRUE(InForce(fleet, AllVms(fleet), first_won, accepted_at));
    // The same operator may win twice with the same value, so only the version tells that this round's edit is in
    // force.
    version = (first_won ? first : second).body.at("version").get<std::uint64_t>();
    ASSERT_TRUE(HoldVersion(fleet, AllVms(fleet), version, accepted_at));
  }
}

TEST(EditsTest, AnEditWhoseAnswerIsLostIsAcceptedAndInForce) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  fleet.ControlPlatform("lose_answers", Json{{"count", 1}, {"method", "PUT"}});
  const EditAnswer edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(InForce(fleet, AllVms(fleet), true, edit.answered_at));
}

TEST(EditsTest, AVmStartedInAnOutageLearnsTheEditFromPeers) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  const EditAnswer edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  fleet.ControlPlatform("outage", Json{{"on", true}});
  ASSERT_TRUE(InForce(fleet, AllVms(fleet), true, edit.answered_at));
  const std::size_t restarted = fleet.Leader() == 6 ? 5 : 6;
  fleet.Vm(restarted).Kill();
  fleet.RestartVm(restarted);
  EXPECT_TRUE(InForce(fleet, {restarted}, true, BootClock::now()));
  EXPECT_TRUE(Stays(fleet, AllVms(fleet), true));
}

TEST(EditsTest, ADelayedNoticeRevertsNothing) {
  constexpr std::size_t kDelayedVm = 6;
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  // The watch's answer with the first edit reaches the VM after peers have told it of the second.
  fleet.SetRoute("platform-vm-6", Json{{"mode", "pass"}, {"delay_ms", 700}});
  ASSERT_EQ(EditNote(fleet, 1, false).status, kStatusOk);
  const EditAnswer second = EditNote(fleet, 1, true);
  ASSERT_EQ(second.status, kStatusOk);
  ASSERT_TRUE(FleetFixture::Await([&] { return HeldVersion(fleet, kDelayedVm, "selectors", "note") >= second.version; },
                                  kInForceLimit));
  EXPECT_TRUE(Stays(fleet, {kDelayedVm}, false));
  EXPECT_EQ(HeldVersion(fleet, kDelayedVm, "selectors", "note"), second.version);
  EXPECT_TRUE(Stays(fleet, AllVms(fleet), false));
}

}  // namespace
}  // namespace amaranthlane::testing
