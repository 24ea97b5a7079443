#include <gtest/gtest.h>

#include <fstream>
#include <future>
#include <thread>

#include "common/boot_clock.h"
#include "integration/json_client.h"
#include "integration/process_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr const char* kPath = "/v1/objects/labels/a";

class PlatformTest : public ::testing::Test {
 protected:
  HttpResponse Put(const nlohmann::json& body) { return this->client.Call("PUT", kPath, body); }

  void WaitForWatches(int count) {
    JsonClient control(this->port);
    const TimePoint deadline = BootClock::now() + std::chrono::seconds(3);
    while (control.Get("/control/calls").body["waiting_watches"] != count && BootClock::now() < deadline) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  const std::uint16_t port = FreePort();
  Process process{PLATFORM_STAND_IN, {"--port", std::to_string(this->port)}};
  JsonClient client{this->port};
};

TEST_F(PlatformTest, RejectsConditionalUpdatesWithOtherVersion) {
  EXPECT_EQ(this->Put({{"expected_version", 0}, {"value", {{"x", 1}}}}).body["version"], 1);
  const HttpResponse conflict = this->Put({{"expected_version", 0}, {"value", {{"x", 2}}}});
  EXPECT_EQ(conflict.status, kConflict);
  EXPECT_EQ(conflict.body["type"], "urn:amaranthlane:conflict");
  EXPECT_EQ(conflict.body["current"]["value"]["x"], 1);
  EXPECT_EQ(this->Put({{"expected_version", 1}, {"value", {{"x", 2}}}}).body["version"], 2);
  EXPECT_EQ(this->client.Call("DELETE", std::string(kPath) + "?expected_version=1").status, kConflict);
  EXPECT_EQ(this->client.Call("DELETE", std::string(kPath) + "?expected_version=2").body["version"], 3);
  const HttpResponse deleted = this->client.Get(kPath);
  EXPECT_EQ(deleted.status, kNotFound);
  EXPECT_EQ(deleted.body["version"], 3);
  EXPECT_EQ(this->Put({{"expected_version", 0}, {"value", {{"x", 3}}}}).body["version"], 4);
}

TEST_F(PlatformTest, WatchReturnsTombstoneOfWatchedKind) {
  this->Put({{"value", {{"x", 1}}}});
  auto watch = std::async(std::launch::async, [&] {
    return JsonClient(this->port).Get("/v1/watch?kinds=labels,selectors&after=1&wait_ms=3000").body;
  });
  this->WaitForWatches(1);
  this->client.Call("PUT", "/v1/objects/status/s", {{"value", nlohmann::json::object()}});
  this->client.Call("DELETE", kPath);
  const nlohmann::json changes = watch.get();
  EXPECT_EQ(changes["version"], 3);
  ASSERT_EQ(changes["objects"].size(), 1U);
  EXPECT_EQ(changes["objects"][0]["deleted"], true);
  EXPECT_FALSE(changes["objects"][0].contains("value"));
  EXPECT_TRUE(this->client.Get("/v1/watch?after=3&wait_ms=20").body["objects"].empty());
  const nlohmann::json calls = this->client.Get("/control/calls").body;
  EXPECT_EQ(calls, nlohmann::json({{"reads", 0}, {"writes", 3}, {"watches", 2}, {"waiting_watches", 0}}));
}

TEST_F(PlatformTest, LoseAnswersAppliesRequestBeforeDroppingResponse) {
  this->client.Post("/control/lose_answers", {{"count", 1}, {"method", "PUT"}});
  EXPECT_THROW(this->Put({{"expected_version", 0}, {"value", {{"x", 1}}}}), HttpCallError);
  EXPECT_EQ(this->client.Get(kPath).body["value"]["x"], 1);
  EXPECT_EQ(this->Put({{"expected_version", 1}, {"value", {{"x", 2}}}}).status, kOk);
}

TEST_F(PlatformTest, OutageClosesConnectionsOfCallsAndWaitingWatches) {
  auto watch = std::async(std::launch::async, [&] { JsonClient(this->port).Get("/v1/watch?after=0&wait_ms=3000"); });
  this->WaitForWatches(1);
  this->client.Post("/control/outage", {{"on", true}});
  EXPECT_THROW(watch.get(), HttpCallError);
  EXPECT_THROW(this->client.Get(kPath), HttpCallError);
  this->client.Post("/control/outage", {{"on", false}});
  EXPECT_EQ(this->client.Get(kPath).status, kNotFound);
}

TEST_F(PlatformTest, RemovesWatchOfClosedConnection) {
  JsonClient watcher(this->port, std::chrono::milliseconds(100));
  EXPECT_THROW(watcher.Get("/v1/watch?after=0&wait_ms=60000"), HttpCallError);
  this->WaitForWatches(0);
  EXPECT_EQ(this->client.Get("/control/calls").body["waiting_watches"], 0);
}

TEST_F(PlatformTest, DelayAppliesToCalls) {
  this->client.Post("/control/delay", {{"delay_ms", 150}});
  const TimePoint sent = BootClock::now();
  EXPECT_EQ(this->client.Get(kPath).status, kNotFound);
  EXPECT_GE(BootClock::now() - sent, std::chrono::milliseconds(150));
}

TEST_F(PlatformTest, VmListChangesAppearAfterLag) {
  nlohmann::json vm = {{"vm", "vm-1"},
                       {"data_centre", "dub-a"},
                       {"region", "eu-west-dub"},
                       {"address", "127.0.0.1:1"},
                       {"state", "live"}};
  this->client.Post("/control/vms", vm);
  this->client.Post("/control/vm_lag", {{"lag_ms", 200}});
  vm["state"] = "leaving";
  this->client.Post("/control/vms", vm);
  EXPECT_EQ(this->client.Get("/v1/vms").body["vms"][0]["state"], "live");
  std::this_thread::sleep_for(std::chrono::milliseconds(220));
  EXPECT_EQ(this->client.Get("/v1/vms").body["vms"][0]["state"], "leaving");
}

TEST(PlatformSeedTest, LoadsObjectsAndVms) {
  const std::string path = ::testing::TempDir() + "amaranthlane_seed.json";
  std::ofstream(path) << R"({"objects":[{"kind":"labels","name":"a","value":{"x":7}}],"vms":[{"vm":"vm-1",
    "data_centre":"dub-a","region":"eu-west-dub","address":"127.0.0.1:1","state":"live"}]})";
  const std::uint16_t port = FreePort();
  Process process(PLATFORM_STAND_IN, {"--port", std::to_string(port), "--load", path});
  JsonClient client(port);
  EXPECT_EQ(client.Get(kPath).body["value"]["x"], 7);
  EXPECT_EQ(client.Get("/v1/vms").body["vms"].size(), 1U);
  EXPECT_EQ(process.Terminate(), 0);
}

}  // namespace
}  // namespace amaranthlane::testing
