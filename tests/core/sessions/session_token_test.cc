#include "core/sessions/session_token.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/sessions/session_errors.h"

namespace amaranthlane::sessions {
namespace {

LogPosition At(Term term, std::uint64_t offset) { return {.term = term, .offset = offset}; }

RC_GTEST_PROP(SessionTokenTest, RoundTripsThroughEncoding,
              (const std::vector<std::pair<Term, std::uint64_t>>& positions)) {
  SessionToken token;
  for (std::size_t index = 0; index < positions.size(); ++index) {
    token.Merge("group-" + std::to_string(index % 20), At(positions[index].first, positions[index].second));
  }
  const std::string text = token.Encode();
  RC_ASSERT(SessionToken::Parse(text) == token);
  RC_ASSERT(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") ==
            std::string::npos);
}

RC_GTEST_PROP(SessionTokenTest, RejectsAnyDamagedCharacter, ()) {
  SessionToken token;
  token.Merge("wrap-register-1", At(3, *rc::gen::arbitrary<std::uint64_t>()));
  token.Merge("wrap-register-2", At(4, 99));
  std::string text = token.Encode();
  char& character = text[*rc::gen::inRange<std::size_t>(0, text.size())];
  const char damaged = *rc::gen::arbitrary<char>();
  RC_PRE(damaged != character);
  character = damaged;
  RC_ASSERT_THROWS_AS(SessionToken::Parse(text), TokenError);
}

RC_GTEST_PROP(SessionTokenTest, RejectsArbitraryText, (const std::string& text)) {
  RC_PRE(!text.empty());
  RC_ASSERT_THROWS_AS(SessionToken::Parse(text), TokenError);
}

TEST(SessionTokenTest, MergingKeepsTheHighestPositionAndComparesTermsFirst) {
  SessionToken token;
  token.Merge("a", At(2, 10));
  token.Merge("a", At(1, 500));
  EXPECT_EQ(token.PositionOf("a"), At(2, 10));
  SessionToken other;
  other.Merge("a", At(2, 11));
  other.Merge("b", At(1, 1));
  token.Merge(other);
  EXPECT_EQ(token.PositionOf("a"), At(2, 11));
  EXPECT_EQ(token.PositionOf("b"), At(1, 1));
  EXPECT_EQ(token.PositionOf("c"), std::nullopt);
}

TEST(SessionTokenTest, DropsTheLeastRecentlyMergedGroupWhenFull) {
  SessionToken token;
  for (std::size_t index = 0; index < kMaxTokenGroups; ++index) {
    token.Merge("group-" + std::to_string(index), At(1, index));
  }
  token.Merge("group-0", At(1, 0));
  token.Merge("one-more", At(1, 1));
  EXPECT_EQ(token.Positions().size(), kMaxTokenGroups);
  EXPECT_TRUE(token.PositionOf("group-0"));
  EXPECT_FALSE(token.PositionOf("group-1"));
}

TEST(SessionTokenTest, RejectsUnknownVersionsAndInvalidNames) {
  EXPECT_THROW(SessionToken::Parse("AgAAAAAAAAAAAA"), TokenVersionError);
  EXPECT_THROW(SessionToken::Parse("AQ"), TokenFormatError);
  EXPECT_THROW(SessionToken::Parse("AQAAAAAAAAAAAA"), TokenChecksumError);
  EXPECT_THROW(SessionToken().Merge("", At(1, 1)), TokenFormatError);
}

}  // namespace
}  // namespace amaranthlane::sessions
