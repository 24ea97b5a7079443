#include "proxy/draining_endpoints.h"

#include <gtest/gtest.h>

namespace amaranthlane::proxy {
namespace {

failover::EndpointEntry Entry(bool draining, std::uint64_t incarnation) {
  failover::EndpointEntry entry;
  entry.name = "e1";
  entry.draining = draining;
  entry.incarnation = incarnation;
  return entry;
}

// Guards against new work for an endpoint whose announcement that it leaves was lost with a restore of the store.
TEST(DrainingEndpoints, AnEndpointDrainsUntilItWritesItsEntryAgain) {
  DrainingEndpoints draining;
  const failover::EndpointDirectory restored = {{"e1", Entry(false, 7)}};
  draining.OnRestore({{"e1", Entry(true, 7)}}, restored);
  EXPECT_TRUE(draining.Apply(restored).at("e1").draining);
  EXPECT_TRUE(draining.Apply(restored).at("e1").draining);
  failover::EndpointEntry written = Entry(false, 7);
  written.slots = 9;
  EXPECT_FALSE(draining.Apply({{"e1", written}}).at("e1").draining);
  EXPECT_FALSE(draining.Apply(restored).at("e1").draining);
}

TEST(DrainingEndpoints, AnEndpointThatStartedAgainIsUsed) {
  DrainingEndpoints draining;
  const failover::EndpointDirectory restored = {{"e1", Entry(false, 8)}};
  draining.OnRestore({{"e1", Entry(true, 7)}}, restored);
  EXPECT_FALSE(draining.Apply(restored).at("e1").draining);
}

TEST(DrainingEndpoints, AnEndpointThatIsGoneIsForgotten) {
  DrainingEndpoints draining;
  const failover::EndpointDirectory restored = {{"e1", Entry(false, 7)}};
  draining.OnRestore({{"e1", Entry(true, 7)}}, restored);
  EXPECT_TRUE(draining.Apply({}).empty());
  EXPECT_FALSE(draining.Apply(restored).at("e1").draining);
}

}  // namespace
}  // namespace amaranthlane::proxy
