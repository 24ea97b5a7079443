// An accepted edit is in force on every VM within kInForceTimeout and never reverts.

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "integration/object_edit.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;
using VmNumbers = std::vector<std::size_t>;

constexpr std::size_t kVms = 6;
constexpr std::chrono::milliseconds kObservationTime{1500};
constexpr std::chrono::milliseconds kSampleInterval{30};
// Time within which a change completes the open watches and new ones are opened.
constexpr std::chrono::milliseconds kWatchRenewalTime{700};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

FleetOptions SixVms() {
  FleetOptions options;
  options.vms = kVms;
  return options;
}

// Waits until the edit is in force at each of the VMs; returns false when it takes longer than kInForceTimeout at one.
bool AwaitInForce(FleetFixture& fleet, const VmNumbers& vms, bool needs_key, TimePoint accepted_at) {
  const TimePoint deadline = accepted_at + kInForceTimeout;
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
  bool all_in_force = true;
  for (std::future<bool>& wait : waits) {
    all_in_force = wait.get() && all_in_force;
  }
  return all_in_force;
}

// Waits until each of the VMs holds this version of the selector `note`, which must not change meanwhile.
bool AwaitVersion(FleetFixture& fleet, const VmNumbers& vms, std::uint64_t version, TimePoint accepted_at) {
  for (const std::size_t vm : vms) {
    std::uint64_t held = HeldVersion(fleet, vm, "selectors", "note");
    while (held != version && BootClock::now() < accepted_at + kInForceTimeout) {
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

// Whether the edit stays in force at each of the VMs for kObservationTime.
bool StaysInForce(FleetFixture& fleet, const VmNumbers& vms, bool needs_key) {
  const TimePoint end = BootClock::now() + kObservationTime;
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

// The number of watches that the VM has opened.
double CountWatchCalls(FleetFixture& fleet, std::size_t vm) {
  const std::string metrics = fleet.CallOperators(vm, "GET", "/metrics").text;
  const std::string name = "amaranthlane_platform_calls_total{kind=\"watch\"} ";
  const std::size_t position = metrics.find(name);
  return position == std::string::npos ? 0 : std::stod(metrics.substr(position + name.size()));
}

// Returns the VMs that watch the platform: those that open a new watch after a change completed theirs.
VmNumbers FindRelays(FleetFixture& fleet) {
  // The first change completes the watches that other VMs opened before they knew their peers.
  EditNote(fleet, 1, true);
  std::this_thread::sleep_for(kWatchRenewalTime);
  std::vector<double> before;
  for (const std::size_t vm : AllVms(fleet)) {
    before.push_back(CountWatchCalls(fleet, vm));
  }
  EditNote(fleet, 1, true);
  std::this_thread::sleep_for(kWatchRenewalTime);
  VmNumbers relays;
  for (const std::size_t vm : AllVms(fleet)) {
    if (CountWatchCalls(fleet, vm) > before[vm - 1]) {
      relays.push_back(vm);
    }
  }
  return relays;
}

TEST(EditsTest, AnEditIsInForceEverywhere) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  ASSERT_FALSE(NoteNeedsKey(fleet, 1));
  const EditResponse edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(AwaitInForce(fleet, AllVms(fleet), true, edit.received_at));
  EXPECT_TRUE(StaysInForce(fleet, AllVms(fleet), true));
}

TEST(EditsTest, AnEditSurvivesTheLossOfTheRelays) {
  FleetOptions options = SixVms();
  // In each data centre only two VMs watch the platform.
  options.data_centres = 1;
  FleetFixture fleet(options);
  fleet.AwaitReady();
  const VmNumbers relays = FindRelays(fleet);
  ASSERT_EQ(relays.size(), 2U);
  VmNumbers others = AllVms(fleet);
  std::erase_if(others, [&relays](std::size_t vm) { return vm == relays[0] || vm == relays[1]; });
  for (const std::size_t relay : relays) {
    fleet.SetRoute("platform-vm-" + std::to_string(relay), Json{{"mode", "cut"}});
  }
  const EditResponse edit = EditNote(fleet, others.front(), false);
  fleet.Vm(relays[0]).Kill();
  fleet.Vm(relays[1]).Kill();
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(AwaitInForce(fleet, others, true, edit.received_at));
  EXPECT_TRUE(StaysInForce(fleet, others, true));
}

TEST(EditsTest, AnEditReachesVmsWithUnresponsiveWatches) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  for (const std::size_t vm : AllVms(fleet)) {
    fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "silent_open"}});
  }
  const EditResponse edit = EditNote(fleet, 3, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(AwaitInForce(fleet, AllVms(fleet), true, edit.received_at));
  EXPECT_TRUE(StaysInForce(fleet, AllVms(fleet), true));
}

TEST(EditsTest, AnEditSurvivesAPlatformOutage) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  // Only the VM that accepted the edit can get it from the platform.
  for (const std::size_t vm : AllVms(fleet)) {
    if (vm != 4) {
      fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "cut"}});
    }
  }
  const EditResponse edit = EditNote(fleet, 4, false);
  fleet.ControlPlatform("outage", Json{{"on", true}});
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(AwaitInForce(fleet, AllVms(fleet), true, edit.received_at));
  for (const std::size_t vm : AllVms(fleet)) {
    fleet.SetRoute("platform-vm-" + std::to_string(vm), Json{{"mode", "pass"}});
  }
  fleet.ControlPlatform("outage", Json{{"on", false}});
  EXPECT_TRUE(StaysInForce(fleet, AllVms(fleet), true));
}

TEST(EditsTest, OneOfTwoRacingOperatorsWins) {
  constexpr int kRounds = 5;
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  std::uint64_t version = HeldVersion(fleet, 1, "selectors", "note");
  for (int round = 0; round < kRounds; ++round) {
    const auto put_note = [&fleet, version](std::size_t vm, bool idempotent) {
      const Json body{{"expected_version", version}, {"value", NoteSelector(idempotent)}};
      return fleet.CallOperators(vm, "PUT", "/v1/objects/selectors/note", body);
    };
    std::future<HttpResponse> other = std::async(std::launch::async, put_note, 5, true);
    const HttpResponse first = put_note(1, false);
    const HttpResponse second = other.get();
    const TimePoint accepted_at = BootClock::now();
    ASSERT_EQ(first.status + second.status, kStatusOk + kStatusConflict) << first.text << second.text;
    const bool first_won = first.status == kStatusOk;
    const Json& conflict = first_won ? second.body : first.body;
    EXPECT_EQ(conflict.at("type"), "urn:amaranthlane:conflict") << conflict;
    EXPECT_EQ(conflict.at("effect"), "not_applied") << conflict;
    EXPECT_EQ(conflict.at("mine").at("value").at("owes"), NoteSelector(first_won).at("owes")) << conflict;
    EXPECT_EQ(conflict.at("current").at("value").at("owes"), NoteSelector(!first_won).at("owes")) << conflict;
    EXPECT_TRUE(AwaitInForce(fleet, AllVms(fleet), first_won, accepted_at));
    // The same operator may win twice with the same value, so only the version shows that this round's edit is in
    // force.
    version = (first_won ? first : second).body.at("version").get<std::uint64_t>();
    ASSERT_TRUE(AwaitVersion(fleet, AllVms(fleet), version, accepted_at));
  }
}

TEST(EditsTest, AnEditWhoseResponseIsLostIsAcceptedAndInForce) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  fleet.ControlPlatform("lose_answers", Json{{"count", 1}, {"method", "PUT"}});
  const EditResponse edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  EXPECT_TRUE(AwaitInForce(fleet, AllVms(fleet), true, edit.received_at));
}

TEST(EditsTest, AVmStartedInAnOutageLearnsTheEditFromPeers) {
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  const EditResponse edit = EditNote(fleet, 2, false);
  ASSERT_EQ(edit.status, kStatusOk) << edit.body;
  fleet.ControlPlatform("outage", Json{{"on", true}});
  ASSERT_TRUE(AwaitInForce(fleet, AllVms(fleet), true, edit.received_at));
  const std::size_t restarted = fleet.Leader() == 6 ? 5 : 6;
  fleet.Vm(restarted).Kill();
  fleet.RestartVm(restarted);
  EXPECT_TRUE(AwaitInForce(fleet, {restarted}, true, BootClock::now()));
  EXPECT_TRUE(StaysInForce(fleet, AllVms(fleet), true));
}

TEST(EditsTest, ADelayedNotificationDoesNotRevertAnEdit) {
  constexpr std::size_t kDelayedVm = 6;
  FleetFixture fleet(SixVms());
  fleet.AwaitReady();
  // The watch response with the first edit reaches the VM after its peers have sent it the second edit.
  fleet.SetRoute("platform-vm-6", Json{{"mode", "pass"}, {"delay_ms", 700}});
  ASSERT_EQ(EditNote(fleet, 1, false).status, kStatusOk);
  const EditResponse second = EditNote(fleet, 1, true);
  ASSERT_EQ(second.status, kStatusOk);
  ASSERT_TRUE(FleetFixture::Await([&] { return HeldVersion(fleet, kDelayedVm, "selectors", "note") >= second.version; },
                                  kInForceTimeout));
  EXPECT_TRUE(StaysInForce(fleet, {kDelayedVm}, false));
  EXPECT_EQ(HeldVersion(fleet, kDelayedVm, "selectors", "note"), second.version);
  EXPECT_TRUE(StaysInForce(fleet, AllVms(fleet), false));
}

}  // namespace
}  // namespace amaranthlane::testing
