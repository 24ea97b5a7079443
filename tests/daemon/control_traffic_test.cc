#include "daemon/control_traffic.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace amaranthlane::daemon {
namespace {

// Guards against a series of metrics for each path that anyone who reaches the peers' port asks for.
TEST(ControlTrafficTest, UnknownPathsShareOneKind) {
  metrics::Registry registry;
  ControlTraffic traffic(registry);
  for (int number = 0; number < 1000; ++number) {
    const std::string target = "/v1/peer/" + std::to_string(number) + "\x1b[2J";
    traffic.CountRequest(PeerTrafficKind(target), net::HttpRequest{"GET", target, {}, {}});
  }
  for (const std::string& path : {std::string("/beat"), std::string("/other/beat"), std::string("beat")}) {
    traffic.CountRequest(PeerTrafficKind(path), net::HttpRequest{"GET", path, {}, {}});
  }
  const std::string text = registry.Expose();
  EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 6) << text.substr(0, 1000);
  EXPECT_EQ(text.find('\x1b'), std::string::npos);
  EXPECT_EQ(PeerTrafficKind("/v1/peer/beat?a=b"), "beat");
  EXPECT_EQ(PeerTrafficKind("/v1/peer/promote?group=a%2Fb"), "promote");
}

}  // namespace
}  // namespace amaranthlane::daemon
