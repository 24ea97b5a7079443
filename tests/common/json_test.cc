#include "common/json.h"

#include <gtest/gtest.h>

#include "common/error.h"

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

TEST(JsonTest, RejectsUnknownMembers) {
  const nlohmann::json value = Parse(R"({"nmae":"dub-a"})", "sample");
  const ObjectReader reader(value, "sample");
  EXPECT_THROW(reader.RejectUnknown({"name"}), ParseError);
}

}  // namespace
}  // namespace amaranthlane::json
