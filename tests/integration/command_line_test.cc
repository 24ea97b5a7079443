// Tests the operators' command-line tool against a running fleet, and the daemon's check of its settings.

#include "integration/command_line.h"

#include <gtest/gtest.h>

#include "integration/object_edit.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

// The exit statuses documented by `amaranthctl --help`.
constexpr int kDone = 0;
constexpr int kRefused = 1;
constexpr int kUsage = 2;
constexpr int kConflict = 3;
constexpr int kUnknown = 4;
constexpr int kTimeout = 5;
// The daemon's exit status for invalid settings.
constexpr int kBadSettings = 3;

CommandResult RunAmaranthctlAt(const FleetFixture& fleet, std::size_t vm, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"--vm", fleet.OperatorsAddress(vm)});
  return RunAmaranthctl(arguments);
}

std::string NoteEdit(const Json& value, std::uint64_t version) {
  return Json{{"kind", "selectors"}, {"name", "note"}, {"value", value}, {"expected_version", version}}.dump();
}

TEST(CommandLineTest, ApplyEditsShowsConflictsAndRefusesBadObjects) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::uint64_t version = HeldVersion(fleet, 1, "selectors", "note");
  const TemporaryFile edit("edit.json", NoteEdit(NoteSelector(false), version));
  const CommandResult applied = RunAmaranthctlAt(fleet, 1, {"apply", edit.Path()});
  ASSERT_EQ(applied.exit_status, kDone) << applied.output;
  const std::uint64_t edited = Json::parse(applied.output).at("version").get<std::uint64_t>();
  const CommandResult waited = RunAmaranthctlAt(fleet, 1, {"wait-in-force", std::to_string(edited)});
  EXPECT_EQ(waited.exit_status, kDone) << waited.output;
  for (const std::size_t vm : AllVms(fleet)) {
    EXPECT_TRUE(NoteNeedsKey(fleet, vm));
  }
  const CommandResult conflict = RunAmaranthctlAt(fleet, 2, {"apply", edit.Path()});
  EXPECT_EQ(conflict.exit_status, kConflict) << conflict.output;
  EXPECT_NE(conflict.output.find("\"mine\""), std::string::npos);
  EXPECT_NE(conflict.output.find("\"current\""), std::string::npos);
  Json bad = NoteSelector(false);
  bad.at("owes").at("rank") = "soon";
  const TemporaryFile bad_edit("bad_edit.json", NoteEdit(bad, edited));
  const CommandResult refused = RunAmaranthctlAt(fleet, 1, {"apply", bad_edit.Path()});
  EXPECT_EQ(refused.exit_status, kRefused) << refused.output;
  EXPECT_NE(refused.output.find("rank"), std::string::npos) << refused.output;
}

TEST(CommandLineTest, GetAndStatusShowTheFleet) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const CommandResult one = RunAmaranthctlAt(fleet, 1, {"get", "selectors", "note"});
  ASSERT_EQ(one.exit_status, kDone) << one.output;
  EXPECT_EQ(Json::parse(one.output).at("name"), "note");
  const CommandResult all = RunAmaranthctlAt(fleet, 1, {"get", "selectors"});
  EXPECT_EQ(all.exit_status, kDone) << all.output;
  EXPECT_NE(all.output.find("lookup"), std::string::npos) << all.output;
  const CommandResult none = RunAmaranthctlAt(fleet, 1, {"get", "selectors", "absent"});
  EXPECT_EQ(none.exit_status, kRefused) << none.output;
  const CommandResult status = RunAmaranthctlAt(fleet, 1, {"--output", "json", "status"});
  ASSERT_EQ(status.exit_status, kDone) << status.output;
  EXPECT_EQ(Json::parse(status.output).at("leaders").front().at("leader"), "vm-" + std::to_string(fleet.Leader()));
  EXPECT_EQ(RunAmaranthctlAt(fleet, 1, {"unheard-of"}).exit_status, kUsage);
  EXPECT_EQ(RunAmaranthctlAt(fleet, 1, {"get"}).exit_status, kUsage);
}

TEST(CommandLineTest, WaitInForceTimesOutWhileAVmIsBehind) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const CommandResult waited = RunAmaranthctlAt(fleet, 1, {"--limit-ms", "500", "wait-in-force", "1000000"});
  EXPECT_EQ(waited.exit_status, kTimeout) << waited.output;
  EXPECT_NE(waited.output.find("vm-2"), std::string::npos) << waited.output;
}

TEST(CommandLineTest, PromoteMovesThePrimaryAndDrainEndsTheVm) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  ASSERT_EQ(fleet.Add(1, "counter", "key-1").outcome, "done");
  const std::size_t leader = fleet.Leader();
  const std::size_t other = leader == 1 ? 2 : 1;
  const std::size_t target = fleet.Primary() == 2 ? 3 : 2;
  const CommandResult promoted =
      RunAmaranthctlAt(fleet, other, {"promote", "group-1", "endpoint-" + std::to_string(target)});
  EXPECT_EQ(promoted.exit_status, kDone) << promoted.output;
  EXPECT_EQ(fleet.Primary(), target);
  EXPECT_EQ(RunAmaranthctlAt(fleet, other, {"promote", "group-1", "endpoint-9"}).exit_status, kConflict);
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
  EXPECT_EQ(RunAmaranthctlAt(fleet, leader, {"drain"}).exit_status, kDone);
  EXPECT_TRUE(FleetFixture::Await([&] { return !fleet.Vm(leader).Running(); }, std::chrono::seconds(5)));
  EXPECT_EQ(RunAmaranthctlAt(fleet, leader, {"status"}).exit_status, kUnknown);
  EXPECT_EQ(fleet.Add(other, "counter", "key-2").outcome, "done");
}

struct SettingsCase {
  const char* name;
  const char* text;
  const char* line;
  const char* key;
};

class CheckSettingsTest : public ::testing::TestWithParam<SettingsCase> {};

TEST_P(CheckSettingsTest, AnInvalidFileIsReportedWithFileLineAndKey) {
  const TemporaryFile file(std::string(GetParam().name) + ".yaml", GetParam().text);
  const CommandResult checked = RunAmaranthlaned({"--settings", file.Path(), "--check-settings"});
  EXPECT_EQ(checked.exit_status, kBadSettings) << checked.output;
  EXPECT_NE(checked.output.find(file.Path() + ":" + GetParam().line), std::string::npos) << checked.output;
  EXPECT_NE(checked.output.find(GetParam().key), std::string::npos) << checked.output;
}

INSTANTIATE_TEST_SUITE_P(
    Files, CheckSettingsTest,
    ::testing::Values(SettingsCase{"UnknownKey", "vm: vm-1\nleadership:\n  beet_ms: 100\n", "3", "leadership.beet_ms"},
                      SettingsCase{"WrongType", "vm: vm-1\nleadership:\n  beat_ms: often\n", "3", "leadership.beat_ms"},
                      SettingsCase{"ImpossibleValue", "vm: vm-1\naddresses:\n  callers: 127.0.0.1:70000\n", "3",
                                   "addresses.callers"}),
    [](const ::testing::TestParamInfo<SettingsCase>& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace amaranthlane::testing
