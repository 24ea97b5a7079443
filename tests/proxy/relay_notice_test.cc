#include "proxy/relay_notice.h"

#include <gtest/gtest.h>

#include "common/error.h"

namespace amaranthlane::proxy {
namespace {

TEST(RelayNotice, IsParsedAsItWasEncoded) {
  const std::string notice = EncodeRelayNotice({17, "127.0.0.1:80"});
  EXPECT_TRUE(BeginsWithRelayNotice(notice));
  EXPECT_EQ(RelayNoticeLength(notice + "read r1\n"), notice.size());
  EXPECT_EQ(RelayNoticeLength(notice.substr(0, notice.size() - 1)), 0U);
  const KnownConfiguration known = ParseRelayNotice(notice);
  EXPECT_EQ(known.version, 17U);
  EXPECT_EQ(known.address, "127.0.0.1:80");
}

TEST(RelayNotice, AnythingElseIsRejected) {
  for (const char* notice : {"", "read r1\n", "\x02\n", "\x02 0 127.0.0.1:80\n", "\x02 5 nowhere\n", "\x02 5\n"}) {
    EXPECT_THROW(ParseRelayNotice(notice), ParseError) << notice;
  }
}

}  // namespace
}  // namespace amaranthlane::proxy
