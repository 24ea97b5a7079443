#include "common/sha256.h"

#include <gtest/gtest.h>

#include "common/error.h"

namespace amaranthlane {
namespace {

TEST(Sha256Test, MatchesThePublishedTestVector) {
  EXPECT_EQ(Sha256("abc"), ParseSha256("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
}

TEST(Sha256Test, RejectsMalformedDigests) {
  EXPECT_THROW(ParseSha256("ba78"), ParseError);
  EXPECT_THROW(ParseSha256(std::string(64, 'G')), ParseError);
}

}  // namespace
}  // namespace amaranthlane
