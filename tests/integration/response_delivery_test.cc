// Every caller gets the complete response to its own request, never one to another request, despite network faults
// between the processes.

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "integration/object_edit.h"
#include "integration/tagged_load.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
// Faults last longer than a request's time limit, so that responses arrive after the request was abandoned.
constexpr std::chrono::milliseconds kFaultDuration{900};
constexpr std::chrono::milliseconds kRequestTimeLimit{400};
constexpr std::chrono::milliseconds kRecoveryTimeout{4000};
constexpr std::uint64_t kMinDoneResponses = 50;

struct Hop {
  const char* name;
  // Route names are this prefix followed by a number from 1 to `routes`.
  const char* route_prefix;
  std::size_t routes;
};

struct HopFault {
  const char* name;
  const char* mode;
  int delay_ms;
  int bytes;
  // The fault stays active; callers must be served despite it.
  bool persists;
};

struct HopCase {
  Hop hop;
  HopFault fault;
};

constexpr Hop kPeers{"Peers", "peers-vm-", 3};
constexpr Hop kEndpoints{"Endpoints", "endpoint-", 3};
constexpr Hop kPlatform{"Platform", "platform-vm-", 3};

constexpr HopFault kDelayed{"Late", "pass", 500, 0, false};
constexpr HopFault kFrozen{"HeldBack", "freeze", 0, 0, false};
constexpr HopFault kTruncated{"Truncated", "truncate_answer", 0, 150, false};
constexpr HopFault kUnresponsive{"Silent", "silent_open", 0, 0, true};

void SetHopMode(FleetFixture& fleet, const Hop& hop, const Json& mode) {
  for (std::size_t route = 1; route <= hop.routes; ++route) {
    fleet.SetRoute(hop.route_prefix + std::to_string(route), mode);
  }
}

Json FaultMode(const HopFault& fault) {
  return Json{{"mode", fault.mode}, {"delay_ms", fault.delay_ms}, {"bytes", fault.bytes}};
}

void ExpectNoLostOrMisdeliveredResponses(const LoadReport& report) {
  EXPECT_TRUE(report.misdelivered.empty())
      << report.misdelivered.size() << " misdelivered responses, such as " << report.misdelivered.front();
  EXPECT_TRUE(report.unanswered.empty()) << report.unanswered.size() << " requests without a response, such as "
                                         << report.unanswered.front();
}

class ResponseDeliveryTest : public ::testing::TestWithParam<HopCase> {};

TEST_P(ResponseDeliveryTest, EachCallerGetsItsOwnCompleteResponse) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  LoadOptions options;
  options.vms = AllVms(fleet);
  options.time_limit = kRequestTimeLimit;
  TaggedLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitDone(kMinDoneResponses, kRecoveryTimeout));
  SetHopMode(fleet, GetParam().hop, FaultMode(GetParam().fault));
  if (!GetParam().fault.persists) {
    std::this_thread::sleep_for(kFaultDuration);
    SetHopMode(fleet, GetParam().hop, Json{{"mode", "pass"}});
  }
  EXPECT_TRUE(load.AwaitDone(kMinDoneResponses, kRecoveryTimeout)) << "callers are not served after the fault";
  ExpectNoLostOrMisdeliveredResponses(load.Stop());
}

INSTANTIATE_TEST_SUITE_P(Hops, ResponseDeliveryTest,
                         ::testing::Values(HopCase{kPeers, kDelayed}, HopCase{kPeers, kFrozen},
                                           HopCase{kPeers, kTruncated}, HopCase{kPeers, kUnresponsive},
                                           HopCase{kEndpoints, kDelayed}, HopCase{kEndpoints, kFrozen},
                                           HopCase{kEndpoints, kTruncated}, HopCase{kEndpoints, kUnresponsive},
                                           HopCase{kPlatform, kDelayed}, HopCase{kPlatform, kFrozen},
                                           HopCase{kPlatform, kTruncated}, HopCase{kPlatform, kUnresponsive}),
                         [](const ::testing::TestParamInfo<HopCase>& info) {
                           return std::string(info.param.hop.name) + info.param.fault.name;
                         });

// Operators' edits use the hop to the platform, as the watch does.
class PlatformResponseDeliveryTest : public ::testing::TestWithParam<HopFault> {};

TEST_P(PlatformResponseDeliveryTest, EachOperatorGetsTheResponseToItsOwnEdit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  for (const std::size_t vm : AllVms(fleet)) {
    const std::string name = "own-of-vm-" + std::to_string(vm);
    const Json value{{"groups", Json::array()},
                     {"callers", Json::array()},
                     {"kinds", Json::array({name})},
                     {"labels", Json{{"work", name}}}};
    SetHopMode(fleet, kPlatform, FaultMode(GetParam()));
    std::future<EditResponse> pending = std::async(
        std::launch::async, [&fleet, vm, &name, &value] { return EditObject(fleet, vm, "labels", name, value); });
    if (pending.wait_for(kFaultDuration) != std::future_status::ready && !GetParam().persists) {
      SetHopMode(fleet, kPlatform, Json{{"mode", "pass"}});
    }
    const EditResponse edit = pending.get();
    ASSERT_EQ(edit.status, kStatusOk) << edit.body;
    const Json stored = fleet.Platform("GET", "/v1/objects/labels/" + name).body;
    EXPECT_EQ(stored.at("version"), edit.version) << stored;
    EXPECT_EQ(stored.at("value").at("kinds"), value.at("kinds")) << stored;
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, PlatformResponseDeliveryTest,
                         ::testing::Values(kDelayed, kFrozen, kTruncated, kUnresponsive),
                         [](const ::testing::TestParamInfo<HopFault>& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace amaranthlane::testing
