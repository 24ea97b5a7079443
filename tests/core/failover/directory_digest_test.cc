#include <gtest/gtest.h>

#include "core/failover/endpoint_status.h"

namespace amaranthlane::failover {
namespace {

TEST(DirectoryDigest, ChangesOnlyWithFieldsThatAffectRouting) {
  EndpointDirectory directory;
  directory["e1"].address = "10.0.0.1:1";
  const std::string first = DirectoryDigest(directory);
  directory["e1"].claims_primary = true;
  EXPECT_EQ(DirectoryDigest(directory), first);
  directory["e1"].draining = true;
  EXPECT_NE(DirectoryDigest(directory), first);
}

}  // namespace
}  // namespace amaranthlane::failover
