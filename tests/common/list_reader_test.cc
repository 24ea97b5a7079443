#include "common/list_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "common/error.h"
#include "common/json_text.h"

namespace amaranthlane::json {
namespace {

// What a reader made of a text: the object, and the elements of its lists.
struct ReadText {
  nlohmann::json document;
  std::vector<std::pair<std::string, nlohmann::json>> elements;
};

ReadText Read(const Selection& selection, const std::vector<std::string>& parts) {
  ReadText read;
  ListReader reader(selection, "sample", [&read](std::string_view list, const nlohmann::json& element) {
    read.elements.emplace_back(list, element);
  });
  for (const std::string& part : parts) {
    reader.Append(part);
  }
  read.document = reader.Finish();
  return read;
}

Selection SampleSelection() {
  return Members({{"items", Elements(Members({{"name", {}}, {"spec", Members({{"slots", {}}, {"all", Whole()}})}}))},
                  {"more", {}}});
}

nlohmann::json ReadElement(const std::string& text) {
  const ReadText read = Read(SampleSelection(), {R"({"items":[)" + text + "]}"});
  return read.elements.at(0).second;
}

TEST(ListReader, KeepsWhatIsSelected) {
  const ReadText read = Read(SampleSelection(), {R"( {"other" : [{"a":1}], "items":[
      {"name":"a","status":{"x":[1]},"spec":{"slots":3,"extra":"\"]}","all":{"b":[1,{"c":null}]}}}, {"name":"b"}, 7],
      "more" : true} )"});
  ASSERT_EQ(read.elements.size(), 3U);
  EXPECT_EQ(read.elements[0].first, "items");
  EXPECT_EQ(read.elements[0].second,
            nlohmann::json::parse(R"({"name":"a","spec":{"slots":3,"all":{"b":[1,{"c":null}]}}})"));
  EXPECT_EQ(read.elements[1].second, nlohmann::json::parse(R"({"name":"b"})"));
  EXPECT_EQ(read.elements[2].second, 7);
  EXPECT_EQ(read.document, nlohmann::json::parse(R"({"items":[],"more":true})"));
}

TEST(ListReader, ReplacesWhatIsNotOfTheSelectedKind) {
  EXPECT_TRUE(ReadElement(R"({"spec":{"slots":[1]}})")["spec"]["slots"].is_null());
  EXPECT_TRUE(ReadElement(R"({"spec":{"slots":{"a":1}}})")["spec"]["slots"].is_null());
  EXPECT_TRUE(ReadElement(R"({"spec":[1]})")["spec"].is_null());
  EXPECT_EQ(ReadElement(R"({"spec":"text"})")["spec"], "text");
  EXPECT_TRUE(ReadElement("[1]").is_null());
  EXPECT_TRUE(Read(SampleSelection(), {R"({"items":{"a":1}})"}).document["items"].is_null());
}

TEST(ListReader, ReplacesUnreadableValues) {
  EXPECT_TRUE(ReadElement(R"({"spec":{"slots":1e999}})")["spec"]["slots"].is_null());
  EXPECT_EQ(ReadElement(R"({"name":"\ud800"})")["name"], "?");
  EXPECT_EQ(ReadElement("{\"name\":\"b\xff\"}")["name"], "b?");
  EXPECT_EQ(ReadElement(R"({"n\u0061me":"x"})")["name"], "x");
}

// Guards against a member that is kept once for each time that it occurs.
TEST(ListReader, KeepsTheFirstOfMembersWithOneName) {
  EXPECT_EQ(ReadElement(R"({"spec":{"slots":1,"slots":2}})")["spec"]["slots"], 1);
}

// Guards against values whose size bounds the memory of the process.
TEST(ListReader, ReplacesValuesBeyondTheLimits) {
  const auto whole = [](const std::string& text) {
    return ReadElement(R"({"spec":{"all":)" + text + R"(},"name":"x"})");
  };
  std::string many = "[1";
  for (std::size_t count = 0; count < kMaxValues; ++count) {
    many += ",1";
  }
  const std::string half(kMaxWholeBytes / 2, 'x');
  for (const std::string& text : {many + "]", "[" + many + "]]", "[\"" + half + "\",\"" + half + "\"]"}) {
    EXPECT_TRUE(whole(text)["spec"]["all"].is_null()) << text.substr(0, 8);
    EXPECT_EQ(whole(text)["name"], "x") << text.substr(0, 8);
  }
  EXPECT_FALSE(whole(many.substr(0, kMaxValues) + "]")["spec"]["all"].is_null());
  EXPECT_TRUE(whole("[\"" + half + half + "\"]")["spec"]["all"].at(0).is_null());
  const std::string deep = std::string(250000, '[') + std::string(250000, ']');
  EXPECT_TRUE(whole(R"({"a":)" + deep + "}")["spec"]["all"].is_object());
  EXPECT_TRUE(ReadElement(R"({"name":")" + std::string(kMaxScalarBytes, 'x') + "\"}")["name"].is_null());
}

TEST(ListReader, RejectsWhatIsNoCompleteObject) {
  for (const char* text : {"", "{", "[]", "7", "{\"items\":[", "{\"items\":[1 2]}", "{\"items\":[1,]}", "{\"more\" 1}",
                           "{\"more\":1]", "{\"more\":1}}", "{\"more\":1}x", "{\"more\":\"", "{,}", "{1:2}", "}"}) {
    EXPECT_THROW(Read(SampleSelection(), {text}), ParseError) << text;
  }
}

// Guards against a token that is read differently when it arrives in parts.
TEST(ListReader, PartsMakeNoDifference) {
  const std::vector<std::string> tokens = {
      "{",           "}",        "[",        "]",       ",",         ":",        "\"name\"",
      "\"items\"",   "12",       "-1.5e3",   "true",    "nulx",      " ",        "\"x\\\"]\"",
      "\"\\u00e9\"", "\xc3\xa9", "\"spec\"", "\"all\"", "\"slots\"", "\"\xff\"", "{\"items\":[{\"spec\":{\"all\":"};
  const bool passed = rc::check("a reader makes the same of a text, whatever its parts are", [&tokens] {
    std::string text = R"({"items":[{"spec":{"all":)";
    for (const std::string& token : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(tokens))) {
      text += token;
    }
    text += *rc::gen::elementOf(std::vector<std::string>{"", "}}]}", "1}}],\"more\":1}"});
    const auto outcome = [](const std::vector<std::string>& parts) {
      try {
        const ReadText read = Read(SampleSelection(), parts);
        nlohmann::json result = read.document;
        for (const auto& [list, element] : read.elements) {
          result["elements"].push_back(element);
        }
        return result.dump();
      } catch (const ParseError&) {
        return std::string("rejected");
      }
    };
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
      const auto length = static_cast<std::size_t>(*rc::gen::inRange(1, 6));
      parts.push_back(text.substr(begin, length));
      begin += length;
    }
    RC_ASSERT(outcome({text}) == outcome(parts));
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::json
