#include "common/json.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "common/json_text.h"

namespace amaranthlane::json {
namespace {

TEST(JsonTest, ReadsTypedMembers) {
  const nlohmann::json value = Parse(R"({"name":"dub-a","count":3,"wait_ms":250})", "sample");
  const ObjectReader reader(value, "sample");
  EXPECT_EQ(reader.String("name"), "dub-a");
  EXPECT_EQ(reader.Unsigned("count"), 3U);
  EXPECT_EQ(reader.Milliseconds("wait_ms"), std::chrono::milliseconds(250));
}

TEST(JsonTest, ParseErrorNamesDocumentKeyAndExpectedValue) {
  const nlohmann::json value = Parse(R"({"count":-1})", "sample");
  const ObjectReader reader(value, "sample");
  try {
    reader.Unsigned("count");
    FAIL() << "a negative count was accepted";
  } catch (const ParseError& error) {
    EXPECT_EQ(error.document, "sample");
    EXPECT_EQ(error.key, "count");
    EXPECT_EQ(error.expected, "a whole number from 0");
  }
}

TEST(JsonTest, RejectsInvalidJson) { EXPECT_THROW(Parse("{", "sample"), ParseError); }

TEST(JsonTest, RejectsDeepNesting) {
  const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
  EXPECT_NO_THROW(Parse(nested(kMaxNesting), "sample"));
  EXPECT_THROW(Parse(nested(kMaxNesting + 1), "sample"), ParseError);
  EXPECT_THROW(Parse(nested(250000), "sample"), ParseError);
  EXPECT_NO_THROW(Parse("\"" + std::string(250000, '[') + "\"", "sample"));
}

// Guards against a message of legal size whose values take many times its length.
TEST(JsonTest, RejectsMoreValuesThanTheLimit) {
  const auto list = [](std::size_t count) {
    std::string text = "[{}";
    for (std::size_t added = 1; added < count; ++added) {
      text += ",{}";
    }
    return text + "]";
  };
  EXPECT_NO_THROW(Parse(list(kMaxValues / 2), "sample"));
  EXPECT_THROW(Parse(list(kMaxValues / 2 + 1), "sample"), ParseError);
  EXPECT_NO_THROW(Parse("\"" + std::string(2 * kMaxValues, ',') + "\"", "sample"));
}

TEST(JsonTest, ReplacesOnlyUnreadableValues) {
  const std::string deep = std::string(250000, '[') + std::string(250000, ']');
  const nlohmann::json value = ParseSharedDocument(R"({"a":[1,-2.5e3,true,null,"\"[{"],"deep":{"x":)" + deep +
                                                       R"(,"y":1},"huge":1e999,"nan":NaN,"text":"\ud800",)" +
                                                       "\"bytes\":\"b\xff\",\"zone\":\"\xc3\xa9\",\"k\xff\":2}",
                                                   "sample");
  EXPECT_EQ(value["a"], nlohmann::json::parse(R"([1,-2.5e3,true,null,"\"[{"])"));
  EXPECT_EQ(value["deep"]["y"], 1);
  EXPECT_TRUE(value["huge"].is_null());
  EXPECT_TRUE(value["nan"].is_null());
  EXPECT_EQ(value["text"], "?");
  EXPECT_EQ(value["bytes"], "b?");
  EXPECT_EQ(value["zone"], "\xc3\xa9");
  EXPECT_EQ(value["k?"], 2);
}

TEST(JsonTest, RejectsADocumentThatCanNotBeRepaired) {
  for (const char* text : {"", "{", "[1,", "{\"a\"", "\"", "[1 2]", "]", "{\"a\":\"\\"}) {
    EXPECT_THROW(ParseSharedDocument(text, "sample"), ParseError) << text;
  }
}

TEST(JsonTest, ReadsAddresses) {
  const nlohmann::json value =
      Parse(R"({"good":"127.0.0.1:7000","six":"[::1]:7000","port":"127.0.0.1:70000","none":""})", "sample");
  const ObjectReader reader(value, "sample");
  EXPECT_EQ(reader.Address("good"), "127.0.0.1:7000");
  EXPECT_EQ(reader.Address("six"), "[::1]:7000");
  EXPECT_THROW(reader.Address("port"), ParseError);
  EXPECT_THROW(reader.Address("none"), ParseError);
  EXPECT_EQ(reader.AddressOrEmpty("none"), "");
}

TEST(JsonTest, RejectsUnknownMembers) {
  const nlohmann::json value = Parse(R"({"nmae":"dub-a"})", "sample");
  const ObjectReader reader(value, "sample");
  EXPECT_THROW(reader.RejectUnknown({"name"}), ParseError);
}

}  // namespace
}  // namespace amaranthlane::json
