#include "core/failover/departed_endpoints.h"

#include <gtest/gtest.h>

namespace amaranthlane::failover {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

EndpointEntry MakeEntry(const EndpointName& name, const std::string& address) {
  EndpointEntry entry;
  entry.name = name;
  entry.group = "g";
  entry.address = address;
  return entry;
}

EndpointDirectory MakeDirectory(const std::vector<EndpointEntry>& entries) {
  EndpointDirectory directory;
  for (const EndpointEntry& entry : entries) {
    directory.emplace(entry.name, entry);
  }
  return directory;
}

class DepartedEndpointsTest : public testing::Test {
 protected:
  DepartedEndpointsTest() {
    this->endpoints.Update(MakeDirectory({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2")}), this->synchronous, kStart);
  }

  std::map<GroupName, std::uint64_t> synchronous = {{"g", 1}};
  DepartedEndpoints endpoints;
};

TEST_F(DepartedEndpointsTest, AreRememberedUntilTheyAreBack) {
  const EndpointDirectory both = MakeDirectory({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2")});
  this->endpoints.Update(MakeDirectory({MakeEntry("e1", "a:1")}), this->synchronous, kStart + seconds(1));
  EXPECT_EQ(this->endpoints.Of("g"), std::vector<EndpointName>{"e2"});
  EXPECT_TRUE(this->endpoints.Of("h").empty());
  this->endpoints.Update(both, this->synchronous, kStart + seconds(2));
  EXPECT_TRUE(this->endpoints.Of("g").empty());
}

TEST_F(DepartedEndpointsTest, AreReplacedByAnEndpointAtTheirAddress) {
  const EndpointDirectory successor = MakeDirectory({MakeEntry("e1", "a:1"), MakeEntry("e3", "a:2")});
  this->endpoints.Update(successor, this->synchronous, kStart + seconds(1));
  EXPECT_TRUE(this->endpoints.Of("g").empty());
}

TEST_F(DepartedEndpointsTest, AreForgottenOnceAnotherHasWhatThePrimaryHadWhenTheyLeft) {
  this->endpoints.Update(MakeDirectory({MakeEntry("e1", "a:1")}), this->synchronous, kStart + seconds(1));
  this->endpoints.OnPositionReached("g", kStart);
  EXPECT_EQ(this->endpoints.Of("g").size(), 1U);
  this->endpoints.OnPositionReached("g", kStart + seconds(2));
  EXPECT_TRUE(this->endpoints.Of("g").empty());
}

// The operator's way to let a group go on without a log that never returns.
TEST_F(DepartedEndpointsTest, AreForgottenOnceCommitsWaitForNoReplica) {
  this->endpoints.Update(MakeDirectory({MakeEntry("e1", "a:1")}), this->synchronous, kStart + seconds(1));
  this->synchronous["g"] = 0;
  this->endpoints.Update(MakeDirectory({MakeEntry("e1", "a:1")}), this->synchronous, kStart + seconds(2));
  EXPECT_TRUE(this->endpoints.Of("g").empty());
}

}  // namespace
}  // namespace amaranthlane::failover
