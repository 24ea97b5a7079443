#include "common/message_field.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

namespace amaranthlane {
namespace {

using std::literals::string_literals::operator""s;

constexpr std::size_t kMaxWordBytes = 255;

// Every byte below the blank but the tab.
std::set<char> ControlCharacters() {
  std::set<char> characters;
  for (int byte = 0; byte < 0x20; ++byte) {
    characters.insert(static_cast<char>(byte));
  }
  characters.erase('\t');
  return characters;
}

bool HoldsAny(const std::string& text, const std::set<char>& characters) {
  return std::any_of(text.begin(), text.end(), [&](char character) { return characters.count(character) > 0; });
}

std::set<char> BytesThatNoWordHolds() {
  std::set<char> characters = ControlCharacters();
  characters.insert({' ', '\t'});
  return characters;
}

// Text whose bytes are often control characters, blanks or above 0x7f.
rc::Gen<std::string> RandomText() {
  return rc::gen::container<std::string>(
      rc::gen::weightedOneOf<char>({{6, rc::gen::inRange<char>('!', '~')},
                                    {1, rc::gen::elementOf("\r\n\t \0\v\f\x02\x1c\x1f\x7f\x80\x85\xff"s)},
                                    {1, rc::gen::arbitrary<char>()}}));
}

bool IsAccepted(MessageField (*make)(std::string_view), const std::string& text) {
  try {
    EXPECT_EQ(make(text).Text(), text);
    return true;
  } catch (const InvalidFieldError&) {
    return false;
  }
}

TEST(MessageField, EachByteIsTextOrNot) {
  for (int byte = 0; byte <= 0xFF; ++byte) {
    const std::string text = "a" + std::string(1, static_cast<char>(byte)) + "b";
    const bool is_control = byte < 0x20 && byte != '\t';
    EXPECT_EQ(IsAccepted(MessageField::Last, text), !is_control) << byte;
    EXPECT_EQ(IsAccepted(MessageField::Word, text), byte > 0x20) << byte;
    EXPECT_EQ(IsWord(text), byte > 0x20) << byte;
    EXPECT_EQ(FindControlCharacter(text), is_control ? std::optional<std::size_t>(1) : std::nullopt) << byte;
    EXPECT_EQ(WithoutControlCharacters(text), is_control ? "a?b" : text) << byte;
  }
}

TEST(MessageField, OnlyTheLastFieldMayBeEmpty) {
  EXPECT_FALSE(IsAccepted(MessageField::Word, ""));
  EXPECT_TRUE(IsAccepted(MessageField::Last, ""));
  EXPECT_EQ(FindControlCharacter(""), std::nullopt);
  EXPECT_EQ(WithoutControlCharacters(""), "");
}

TEST(MessageField, AWordThatIsRequiredHas255BytesAtMost) {
  const std::string longest(kMaxWordBytes, 'a');
  EXPECT_EQ(RequireWord(longest, "document", "key"), longest);
  for (const std::string& text : {longest + "a", std::string(), std::string("a b"), std::string("a\r\nb")}) {
    try {
      RequireWord(text, "document", "key");
      ADD_FAILURE() << "accepted " << text;
    } catch (const ParseError& error) {
      EXPECT_EQ(error.document, "document");
      EXPECT_EQ(error.key, "key");
    }
  }
}

TEST(MessageField, AcceptsExactlyWhatHasNoForbiddenByte) {
  const bool passed = rc::check("accepts exactly what has no forbidden byte", [] {
    const std::string text = *RandomText();
    const bool is_word = !text.empty() && !HoldsAny(text, BytesThatNoWordHolds());
    RC_CLASSIFY(is_word);
    RC_ASSERT(IsAccepted(MessageField::Word, text) == is_word);
    RC_ASSERT(IsAccepted(MessageField::Last, text) == !HoldsAny(text, ControlCharacters()));
  });
  EXPECT_TRUE(passed);
}

TEST(MessageField, FindsTheFirstControlCharacter) {
  const bool passed = rc::check("finds the first control character", [] {
    const std::string text = *RandomText();
    const std::optional<std::size_t> found = FindControlCharacter(text);
    RC_ASSERT(found.has_value() == HoldsAny(text, ControlCharacters()));
    if (found) {
      RC_ASSERT(ControlCharacters().count(text.at(*found)) == 1U);
      RC_ASSERT(!HoldsAny(text.substr(0, *found), ControlCharacters()));
    }
  });
  EXPECT_TRUE(passed);
}

TEST(MessageField, ReplacesControlCharactersOnly) {
  const bool passed = rc::check("replaces control characters only", [] {
    const std::string text = *RandomText();
    const std::string printable = WithoutControlCharacters(text);
    RC_ASSERT(printable.size() == text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
      RC_ASSERT(printable[at] == (ControlCharacters().count(text[at]) > 0 ? '?' : text[at]));
    }
    RC_ASSERT(IsAccepted(MessageField::Last, printable));
    RC_ASSERT(WithoutControlCharacters(printable) == printable);
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane
