#include <gtest/gtest.h>

#include <future>
#include <vector>

#include "common/boot_clock.h"
#include "stand_ins/endpoint_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;

void ConfigureAsOnlyInstance(EndpointProcess& endpoint) {
  const nlohmann::json instance = {{"endpoint", endpoint.name}, {"address", LoopbackAddress(endpoint.port)}};
  const nlohmann::json body = {
      {"term", 1}, {"primary", endpoint.name}, {"instances", nlohmann::json::array({instance})}};
  ASSERT_EQ(endpoint.Post("/v1/configure", body).status, kOk);
}

TEST(EndpointConnectionTest, ConnectionLimitAppliesToStatementsNotProbes) {
  EndpointProcess endpoint("e", {"--connections", "2"});
  ConfigureAsOnlyInstance(endpoint);
  JsonClient first(endpoint.port);
  JsonClient second(endpoint.port);
  EXPECT_EQ(first.Post("/v1/statement", Autocommit(1, Get("a"))).status, kOk);
  EXPECT_EQ(second.Post("/v1/statement", Autocommit(1, Get("a"))).status, kOk);
  const HttpResponse refused = endpoint.Post("/v1/statement", Autocommit(1, Get("a")));
  EXPECT_EQ(refused.status, kServiceUnavailable);
  EXPECT_EQ(refused.body["type"], "urn:amaranthlane:too-many-connections");
  EXPECT_EQ(endpoint.Get("/v1/position").status, kOk);
  EXPECT_EQ(endpoint.State()["connections_open"], 2);
  first.Close();
  const TimePoint deadline = BootClock::now() + std::chrono::seconds(3);
  while (endpoint.State()["connections_open"] != 1 && BootClock::now() < deadline) {
  }
  EXPECT_EQ(endpoint.Post("/v1/statement", Autocommit(1, Get("a"))).status, kOk);
  EXPECT_EQ(endpoint.State()["connections_most"], 2);
}

TEST(EndpointConnectionTest, ConnectDelayAppliesToFirstRequestOnly) {
  EndpointProcess endpoint("e", {"--connect-delay-ms", "200"});
  JsonClient client(endpoint.port);
  const TimePoint opened = BootClock::now();
  client.Get("/v1/position");
  const TimePoint first = BootClock::now();
  client.Get("/v1/position");
  EXPECT_GE(first - opened, std::chrono::milliseconds(200));
  EXPECT_LT(BootClock::now() - first, std::chrono::milliseconds(200));
}

TEST(EndpointConnectionTest, SlotsLimitStatementsNotProbes) {
  EndpointProcess endpoint("e", {"--slots", "2", "--service-us", "200000"});
  ConfigureAsOnlyInstance(endpoint);
  const TimePoint sent = BootClock::now();
  std::vector<std::future<HttpResponse>> responses;
  for (int count = 0; count < 4; ++count) {
    responses.push_back(
        std::async(std::launch::async, [&] { return endpoint.Post("/v1/statement", Autocommit(1, Add("stock", 1))); }));
  }
  EXPECT_EQ(endpoint.Get("/v1/position").status, kOk);
  EXPECT_LT(BootClock::now() - sent, std::chrono::milliseconds(200));
  for (std::future<HttpResponse>& response : responses) {
    EXPECT_EQ(response.get().status, kOk);
  }
  EXPECT_GE(BootClock::now() - sent, std::chrono::milliseconds(400));
}

TEST(EndpointConnectionTest, ExitsWithStatusZeroOnSigterm) {
  EndpointProcess endpoint("e");
  EXPECT_EQ(endpoint.process.Terminate(), 0);
}

}  // namespace
}  // namespace amaranthlane::testing
