#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "common/boot_clock.h"
#include "integration/json_client.h"
#include "integration/process_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kShortTimeout(300);
constexpr const char* kPath = "/v1/objects/labels/a";

// A proxy with a single route to a platform stand-in.
class FaultProxyTest : public ::testing::Test {
 protected:
  void SetFault(const nlohmann::json& fault) {
    ASSERT_EQ(JsonClient(this->control_port).Post("/control/route/platform", fault).status, kOk);
  }

  HttpResponse Put(JsonClient& client, int value) { return client.Call("PUT", kPath, {{"value", {{"x", value}}}}); }

  // The value read directly from the target, bypassing the proxy; null when the object doesn't exist.
  nlohmann::json ValueAtTarget() {
    const HttpResponse response = JsonClient(this->target_port).Get(kPath);
    return response.status == kOk ? response.body["value"]["x"] : nlohmann::json();
  }

  const std::uint16_t target_port = FreePort();
  const std::uint16_t control_port = FreePort();
  const std::uint16_t route_port = FreePort();
  Process target{PLATFORM_STAND_IN, {"--port", std::to_string(this->target_port)}};
  Process proxy{FAULT_PROXY,
                {"--control-port", std::to_string(this->control_port), "--route",
                 "platform:" + std::to_string(this->route_port) + ":" + LoopbackAddress(this->target_port)}};
  JsonClient client{this->route_port, kShortTimeout};
};

TEST_F(FaultProxyTest, PassForwardsAndCountsBytes) {
  EXPECT_EQ(this->Put(this->client, 1).status, kOk);
  const nlohmann::json route = JsonClient(this->control_port).Get("/control/routes").body["routes"][0];
  EXPECT_EQ(route["name"], "platform");
  EXPECT_EQ(route["mode"], "pass");
  EXPECT_EQ(route["open"], 1);
  EXPECT_GT(route["bytes_to_target"], 0);
  EXPECT_GT(route["bytes_to_client"], 0);
  EXPECT_EQ(this->proxy.Terminate(), 0);
}

TEST_F(FaultProxyTest, CutClosesOpenConnectionsAndRefusesNewOnes) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "cut"}});
  EXPECT_THROW(this->Put(this->client, 2), HttpCallError);
  try {
    this->Put(this->client, 2);
    FAIL() << "the proxy accepted a connection on a route in mode cut";
  } catch (const HttpCallError& error) {
    EXPECT_TRUE(error.refused);
  }
  this->SetFault({{"mode", "pass"}});
  EXPECT_EQ(this->Put(this->client, 3).status, kOk);
}

TEST_F(FaultProxyTest, FreezeHoldsBytesUntilPass) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "freeze"}});
  EXPECT_THROW(this->Put(this->client, 2), HttpCallError);
  JsonClient default_timeout_client(this->route_port);
  auto held = std::async(std::launch::async, [&] { return this->Put(default_timeout_client, 3); });
  EXPECT_EQ(held.wait_for(kShortTimeout), std::future_status::timeout);
  EXPECT_EQ(this->ValueAtTarget(), 1);
  this->SetFault({{"mode", "pass"}});
  EXPECT_EQ(held.get().status, kOk);
}

TEST_F(FaultProxyTest, DropToTargetDiscardsRequest) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "drop_to_target"}});
  EXPECT_THROW(this->Put(this->client, 2), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 1);
}

TEST_F(FaultProxyTest, DropToClientDiscardsOnlyResponse) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "drop_to_client"}});
  EXPECT_THROW(this->Put(this->client, 2), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 2);
}

TEST_F(FaultProxyTest, SilentOpenDiscardsBytesOfOpenConnectionsUntilTheyClose) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "silent_open"}});
  JsonClient new_client(this->route_port, kShortTimeout);
  EXPECT_EQ(this->Put(new_client, 2).status, kOk);
  this->SetFault({{"mode", "pass"}});
  EXPECT_THROW(this->Put(this->client, 3), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 2);
  EXPECT_EQ(this->Put(new_client, 4).status, kOk);
}

TEST_F(FaultProxyTest, TruncateAnswerClosesConnectionMidResponse) {
  this->SetFault({{"mode", "truncate_answer"}, {"bytes", 40}});
  EXPECT_THROW(this->Put(this->client, 1), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 1);
  const nlohmann::json route = JsonClient(this->control_port).Get("/control/routes").body["routes"][0];
  EXPECT_EQ(route["bytes_to_client"], 40);
}

TEST_F(FaultProxyTest, LoseAnswerDropsRequestedNumberOfResponses) {
  const std::string path = "/control/route/platform/lose_answer";
  JsonClient(this->control_port).Post(path, {{"count", 2}, {"match", "PUT "}});
  EXPECT_EQ(this->client.Get("/v1/vms").status, kOk);
  EXPECT_THROW(this->Put(this->client, 1), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 1);
  EXPECT_THROW(this->Put(this->client, 2), HttpCallError);
  EXPECT_EQ(this->Put(this->client, 3).status, kOk);
}

TEST_F(FaultProxyTest, FaultForOneClientIpDoesNotAffectOthers) {
  this->Put(this->client, 1);
  this->SetFault({{"mode", "cut"}, {"from", "127.0.1.1"}});
  EXPECT_EQ(this->Put(this->client, 2).status, kOk);
  this->SetFault({{"mode", "freeze"}, {"from", "127.0.0.1"}});
  EXPECT_THROW(this->Put(this->client, 3), HttpCallError);
  this->SetFault({{"mode", "cut"}, {"from", "127.0.0.1"}});
  EXPECT_THROW(this->Put(this->client, 4), HttpCallError);
  EXPECT_EQ(this->ValueAtTarget(), 2);
  this->SetFault({{"mode", "pass"}});
  EXPECT_EQ(this->Put(this->client, 5).status, kOk);
}

TEST_F(FaultProxyTest, DelayAppliesInEachDirection) {
  this->Put(this->client, 1);
  this->SetFault({{"delay_ms", 60}});
  const TimePoint sent = BootClock::now();
  EXPECT_EQ(this->Put(this->client, 2).status, kOk);
  EXPECT_GE(BootClock::now() - sent, std::chrono::milliseconds(120));
}

}  // namespace
}  // namespace amaranthlane::testing
