// Every caller gets the whole answer to its own request and nobody else's, whatever happens on the way between the
// processes.

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "integration/object_edit.h"
#include "integration/tagged_load.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
// A fault lasts longer than the time limit of a request, so that answers come after it was given up.
constexpr std::chrono::milliseconds kFaultTime{900};
constexpr std::chrono::milliseconds kRequestLimit{400};
constexpr std::chrono::milliseconds kRecoveryLimit{4000};
constexpr std::uint64_t kEnoughAnswers = 50;

struct Hop {
  const char* name;
  // The routes of the hop are the prefix with a number.
  const char* route_prefix;
  std::size_t routes;
};

struct HopFault {
  const char* name;
  const char* mode;
  int delay_ms;
  int bytes;
  // The fault isn't taken back before the callers are served again.
  bool stays;
};

struct AnswersCase {
  Hop hop;
  HopFault fault;
};

constexpr Hop kPeers{"Peers", "peers-vm-", 3};
constexpr Hop kEndpoints{"Endpoints", "endpoint-", 3};
constexpr Hop kPlatform{"Platform", "platform-vm-", 3};

constexpr HopFault kLate{"Late", "pass", 500, 0, false};
constexpr HopFault kHeldBack{"HeldBack", "freeze", 0, 0, false};
constexpr HopFault kTruncated{"Truncated", "truncate_answer", 0, 150, false};
constexpr HopFault kSilent{"Silent", "silent_open", 0, 0, true};

void SetHop(FleetFixture& fleet, const Hop& hop, const Json& mode) {
  for (std::size_t route = 1; route <= hop.routes; ++route) {
    fleet.SetRoute(hop.route_prefix + std::to_string(route), mode);
  }
}

Json ModeOf(const HopFault& fault) {
  return Json{{"mode", fault.mode}, {"delay_ms", fault.delay_ms}, {"bytes", fault.bytes}};
}

void ExpectOwnAnswers(const LoadReport& report) {
  EXPECT_TRUE(report.foreign.empty()) << report.foreign.size() << " foreign answers, such as "
                                      << report.foreign.front();
  EXPECT_TRUE(report.unanswered.empty()) << report.unanswered.size() << " requests without an answer, such as "
                                         << report.unanswered.front();
}

class AnswersTest : public ::testing::TestWithParam<AnswersCase> {};

TEST_P(AnswersTest, EachCallerGetsItsOwnWholeAnswer) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  LoadOptions options;
  options.vms = AllVms(fleet);
  options.limit = kRequestLimit;
  TaggedLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitDone(kEnoughAnswers, kRecoveryLimit));
  SetHop(fleet, GetParam().hop, ModeOf(GetParam().fault));
  if (!GetParam().fault.stays) {
    std::this_thread::sleep_for(kFaultTime);
    SetHop(fleet, GetParam().hop, Json{{"mode", "pass"}});
  }
  EXPECT_TRUE(load.AwaitDone(kEnoughAnswers, kRecoveryLimit)) << "callers aren't served again";
  ExpectOwnAnswers(load.Stop());
}

INSTANTIATE_TEST_SUITE_P(Hops, AnswersTest,
                         ::testing::Values(AnswersCase{kPeers, kLate}, AnswersCase{kPeers, kHeldBack},
                                           AnswersCase{kPeers, kTruncated}, AnswersCase{kPeers, kSilent},
                                           AnswersCase{kEndpoints, kLate}, AnswersCase{kEndpoints, kHeldBack},
                                           AnswersCase{kEndpoints, kTruncated}, AnswersCase{kEndpoints, kSilent},
                                           AnswersCase{kPlatform, kLate}, AnswersCase{kPlatform, kHeldBack},
                                           AnswersCase{kPlatform, kTruncated}, AnswersCase{kPlatform, kSilent}),
                         [](const ::testing::TestParamInfo<AnswersCase>& info) {
                           return std::string(info.param.hop.name) + info.param.fault.name;
                         });

// Operators' edits travel the hop to the platform, beside its watch.
class PlatformAnswersTest : public ::testing::TestWithParam<HopFault> {};

TEST_P(PlatformAnswersTest, EachOperatorGetsTheAnswerToTheOwnEdit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  for (const std::size_t vm : AllVms(fleet)) {
    const std::string name = "own-of-vm-" + std::to_string(vm);
    const Json value{{"groups", Json::array()},
                     {"callers", Json::array()},
                     {"kinds", Json::array({name})},
                     {"labels", Json{{"work", name}}}};
    SetHop(fleet, kPlatform, ModeOf(GetParam()));
    std::future<EditAnswer> pending = std::async(
        std::launch::async, [&fleet, vm, &name, &value] { return EditObject(fleet, vm, "labels", name, value); });
    if (pending.wait_for(kFaultTime) != std::future_status::ready && !GetParam().stays) {
      SetHop(fleet, kPlatform, Json{{"mode", "pass"}});
    }
    const EditAnswer edit = pending.get();
    ASSERT_EQ(edit.status, kStatusOk) << edit.body;
    const Json stored = fleet.Platform("GET", "/v1/objects/labels/" + name).body;
    EXPECT_EQ(stored.at("version"), edit.version) << stored;
    EXPECT_EQ(stored.at("value").at("kinds"), value.at("kinds")) << stored;
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, PlatformAnswersTest, ::testing::Values(kLate, kHeldBack, kTruncated, kSilent),
                         [](const ::testing::TestParamInfo<HopFault>& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace amaranthlane::testing
